package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * An upstream that reports a rate limit, as shown to operators.
 *
 * @param id id of the upstream
 * @param service service that the upstream belongs to
 * @param address IP address and port
 * @param perSecond requests per second that the upstream accepts from all entries together
 * @param since when the upstream first reported this limit or one within a tenth of it
 * @param heardBy peer name of the entry that received this report
 */
public record LimitedUpstream(
    String id, String service, String address, double perSecond, Instant since, String heardBy) {}
