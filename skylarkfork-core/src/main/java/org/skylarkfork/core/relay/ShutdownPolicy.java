package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests an entry still accepts during a graceful shutdown.
 *
 * <p>Callers continue to send requests until their lists of entries expire. A request that is still
 * in progress at the end of the grace period would be aborted, so it is refused as not run instead,
 * and the caller can use another entry at once.
 */
final class ShutdownPolicy {

  /** Reserve between the last answer and the end of the grace period. */
  private static final Duration MARGIN = Duration.ofMillis(600);

  /** Maximum duration of nearly all streams including resumed ones, which take 1 to 4 s. */
  private static final Duration MAX_STREAM_DURATION = Duration.ofMillis(4500);

  private final Duration grace;
  private @Nullable Instant stoppingSince;

  ShutdownPolicy(Duration grace) {
    this.grace = grace;
  }

  void stop(Instant now) {
    if (stoppingSince == null) {
      stoppingSince = now;
    }
  }

  /** Returns whether a request of the route is expected to complete within the grace period. */
  boolean accepts(RelayRoute route, Instant now) {
    Instant since = stoppingSince;
    if (since == null) {
      return true;
    }
    Duration timeout = Duration.ofMillis(route.timeoutMillis());
    boolean stream = route.kind() == RouteKind.STREAMING;
    Duration maxDuration =
        stream && timeout.compareTo(MAX_STREAM_DURATION) > 0 ? MAX_STREAM_DURATION : timeout;
    return !now.plus(maxDuration).isAfter(since.plus(grace).minus(MARGIN));
  }
}
