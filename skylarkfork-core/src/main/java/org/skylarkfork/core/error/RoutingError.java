package org.skylarkfork.core.error;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.request.RunState;

/**
 * A refusal or failure as its receiver sees it.
 *
 * @param kind what went wrong
 * @param message what happened and what the receiver can do about it
 * @param runState whether an upstream ran the request
 * @param retryAfterMillis when it is worth asking again, or null if it never is
 */
public record RoutingError(
    ErrorKind kind, String message, RunState runState, @Nullable Long retryAfterMillis) {

  /** Makes an error for a request that no upstream can have started. */
  public static RoutingError notRun(ErrorKind kind, String message) {
    return new RoutingError(kind, message, RunState.NOT_RUN, null);
  }

  /** Makes an error for a request that was not started and may be sent again later. */
  public static RoutingError notRunRetry(ErrorKind kind, String message, long retryAfterMillis) {
    return new RoutingError(kind, message, RunState.NOT_RUN, retryAfterMillis);
  }
}
