package org.skylarkfork.core.crash;

import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * An upstream that may have ended under the requests that it ran.
 *
 * @param run which start of it
 * @param service name of its service, for operators
 * @param version version that it runs, for operators; empty if it has none of its own
 * @param probe has a connection opened to it, whose outcome goes to {@link
 *     CrashDetector#onProbeResult}
 */
public record SuspectedUpstream(UpstreamRun run, String service, String version, Effect probe) {}
