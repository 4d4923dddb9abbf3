package org.skylarkfork.standin.load;

import org.jspecify.annotations.Nullable;

/**
 * What one send of a request gave.
 *
 * @param outcome how it ended
 * @param status HTTP status, or 0 if none came
 * @param requestId id that the entry gave, or null
 * @param version model and version that answered, or null
 * @param moved whether the answer said that the session had to move
 * @param costMicros cost that the answer named
 * @param firstNanos time of the first token or byte, or 0
 * @param retryAfterMillis when to come back, or -1 if it was not said
 * @param detail error text, or empty
 */
record LoadReply(
    LoadOutcome outcome,
    int status,
    @Nullable String requestId,
    @Nullable String version,
    boolean moved,
    long costMicros,
    long firstNanos,
    long retryAfterMillis,
    String detail) {

  /** Returns a reply for a send whose connection failed. */
  static LoadReply lost(String detail) {
    return new LoadReply(LoadOutcome.CONNECTION_LOST, 0, null, null, false, 0, 0, -1, detail);
  }
}
