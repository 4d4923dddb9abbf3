package org.skylarkfork.core.relay;

import java.time.Instant;
import org.skylarkfork.core.crash.RequestKey;

/**
 * A request that no entry sends to an upstream, since it ends those that run it.
 *
 * @param key what the request has in common with the same one sent again
 * @param since when that was agreed on, by the leader's clock
 */
public record QuarantinedRequest(RequestKey key, Instant since) {}
