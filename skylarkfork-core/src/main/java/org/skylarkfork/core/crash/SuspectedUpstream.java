package org.skylarkfork.core.crash;

import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * An upstream that may have ended because of a request that it ran.
 *
 * @param run the run of the upstream's process
 * @param service name of its service, for operators
 * @param version version that it runs, for operators; empty if it has no version
 * @param probe effect that opens a connection to the upstream and reports the outcome to {@link
 *     CrashDetector#onProbeResult}
 */
public record SuspectedUpstream(UpstreamRun run, String service, String version, Effect probe) {}
