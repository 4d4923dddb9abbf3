package org.skylarkfork.core.error;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.request.RunState;

/**
 * A refusal or failure as reported to a caller or operator.
 *
 * @param kind what went wrong
 * @param message what happened and what the recipient can do about it
 * @param runState what is known about whether an upstream ran the request
 * @param retryAfterMillis time after which a retry may succeed, in milliseconds, or null if none
 *     ever does
 */
public record RoutingError(
    ErrorKind kind, String message, RunState runState, @Nullable Long retryAfterMillis) {

  /** Creates an error without a retry time for a request that no upstream can have started. */
  public static RoutingError notRun(ErrorKind kind, String message) {
    return new RoutingError(kind, message, RunState.NOT_RUN, null);
  }

  /**
   * Creates an error for a request that no upstream can have started and that may be retried later.
   */
  public static RoutingError notRunRetry(ErrorKind kind, String message, long retryAfterMillis) {
    return new RoutingError(kind, message, RunState.NOT_RUN, retryAfterMillis);
  }
}
