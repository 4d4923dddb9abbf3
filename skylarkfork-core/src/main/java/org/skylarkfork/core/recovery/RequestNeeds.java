package org.skylarkfork.core.recovery;

import java.time.Instant;

/**
 * What the configuration says about a pending request.
 *
 * @param rank rank of the request; 0 is released first
 * @param objectiveMillis objective for the time from the arrival to the first byte of the answer,
 *     in milliseconds; 0 for none
 * @param allowedMillis maximum time from the arrival to the answer, in milliseconds
 */
public record RequestNeeds(int rank, long objectiveMillis, long allowedMillis) {

  /** Needs of a request whose route isn't known, because the entry has no configuration yet. */
  public static final RequestNeeds UNKNOWN =
      new RequestNeeds(Integer.MAX_VALUE, 0, Integer.MAX_VALUE);

  /** Returns when the request's time is over. */
  Instant deadline(PendingRequest<?> request) {
    return request.arrivedAt().plusMillis(allowedMillis);
  }

  /** Returns the end of the objective, which is the deadline if there is no objective. */
  Instant objectiveEnd(PendingRequest<?> request) {
    return objectiveMillis > 0
        ? request.arrivedAt().plusMillis(objectiveMillis)
        : deadline(request);
  }

  /** Returns whether an answer that begins now still meets the objective. */
  boolean inObjective(PendingRequest<?> request, Instant now) {
    return now.isBefore(objectiveEnd(request));
  }
}
