package org.skylarkfork.core.recovery;

import java.time.Duration;
import java.time.Instant;

/**
 * A request that waits until its entry is ready to serve it.
 *
 * @param <T> type of the request
 * @param request the request
 * @param number number of the request at its entry
 * @param bodyBytes size of the request's body in bytes
 * @param callerMillis the caller's timeout, counted from the arrival, in milliseconds; 0 if
 *     unspecified
 * @param starting whether the entry had not served since its start when the request arrived
 * @param arrivedAt when the request arrived
 */
public record PendingRequest<T>(
    T request, long number, int bodyBytes, long callerMillis, boolean starting, Instant arrivedAt) {

  /** Returns the time that the request has waited. */
  public Duration waited(Instant now) {
    return Duration.between(arrivedAt, now);
  }
}
