package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;

/**
 * Where and how an attempt is sent.
 *
 * @param upstream the upstream, which must refuse the request if it is another run than named
 * @param maxConnections connections that this entry may have to it
 * @param team name of the caller's team, or null for a request without a key
 * @param model model that is named to the upstream, or null to leave the caller's
 * @param urgency rank among requests at the upstream, 0 first; null to leave it out
 * @param leftMillis time left for the answer, in milliseconds
 * @param streams whether the answer is a series of events
 * @param lastEventId event after which the stream goes on, or null
 * @param continues whether events follow those already given to the caller
 * @param fresh whether it needs a new connection
 * @param silenceMillis time without a byte of a stream that has begun after which the entry is told
 *     of it, in milliseconds; 0 for never
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
    int silenceMillis) {}
