package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * An upstream that names a rate limit, for operators.
 *
 * @param id id of the upstream
 * @param service service that it belongs to
 * @param address IP number and port
 * @param perSecond requests a second that it takes from all entries together
 * @param since when it first named this limit, or one within a tenth of it
 * @param heardBy peer name of the entry that it named it to
 */
public record LimitedUpstream(
    String id, String service, String address, double perSecond, Instant since, String heardBy) {}
