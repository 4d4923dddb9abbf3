package org.skylarkfork.core.relay;

import java.time.Instant;
import org.skylarkfork.core.crash.RequestKey;

/**
 * A request that no entry sends to an upstream, since it crashes the upstreams that run it.
 *
 * @param key key of the request, equal for each resend of it
 * @param since when the quarantine was committed, by the leader's clock
 */
public record QuarantinedRequest(RequestKey key, Instant since) {}
