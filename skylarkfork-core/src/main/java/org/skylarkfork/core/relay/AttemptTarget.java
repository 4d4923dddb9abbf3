package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;

/**
 * The upstream and the parameters of one attempt.
 *
 * @param upstream the upstream, which must reject the request if it is a different run from this
 *     one
 * @param maxConnections maximum number of connections from this entry to the upstream
 * @param team name of the caller's team, or null for a request without a key
 * @param model model that the attempt requests, or null to keep the caller's
 * @param urgency priority among the requests at the upstream, 0 being the highest; null to omit it
 * @param leftMillis time until the request's deadline, in milliseconds
 * @param streams whether the answer is an event stream
 * @param lastEventId id of the event after which the stream continues, or null to begin at the
 *     start
 * @param continues whether the answer continues one that is already forwarded to the caller
 * @param fresh whether the attempt requires a new connection
 * @param silenceMillis time without a byte after which a stream that has begun is reported as
 *     silent, in milliseconds; 0 for never
 * @param forwarder peer name of the entry that opens the connection for this one, or null to use
 *     this entry's own links
 */
public record AttemptTarget(
    UpstreamInstance upstream,
    int maxConnections,
    @Nullable String team,
    @Nullable String model,
    @Nullable Integer urgency,
    long leftMillis,
    boolean streams,
    @Nullable String lastEventId,
    boolean continues,
    boolean fresh,
    int silenceMillis,
    @Nullable String forwarder) {}
