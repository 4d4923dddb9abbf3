package org.skylarkfork.standin.load;

import org.jspecify.annotations.Nullable;

/**
 * What the stand-in caller knows of one request.
 *
 * @param number number of the request, from 0
 * @param kind what it is
 * @param key its idempotency key
 * @param session its session, or null
 * @param team index of the team's key
 * @param sends how often it was sent
 * @param lost how many of these sends ended without an answer of the entry
 * @param requestId id that the last entry gave it, or null
 * @param outcome how it ended
 * @param status HTTP status of the last answer, or 0
 * @param version model and version that answered, or null
 * @param moved whether the answer said that the session had to move
 * @param costMicros cost that the answer named
 * @param firstTokenMicros time to the first token or byte in microseconds, or -1
 * @param totalMicros time to the end in microseconds
 * @param detail error text, or empty
 */
public record LoadRecord(
    int number,
    LoadKind kind,
    String key,
    @Nullable String session,
    int team,
    int sends,
    int lost,
    @Nullable String requestId,
    LoadOutcome outcome,
    int status,
    @Nullable String version,
    boolean moved,
    long costMicros,
    long firstTokenMicros,
    long totalMicros,
    String detail) {}
