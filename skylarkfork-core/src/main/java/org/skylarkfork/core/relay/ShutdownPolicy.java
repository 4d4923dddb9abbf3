package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Which requests an entry still takes while it stops.
 *
 * <p>Callers go on sending until their lists of entries have run out. A request that would still be
 * under way at the end of the grace time would be cut, so it is refused as not run instead; the
 * caller finds another entry at once.
 */
final class ShutdownPolicy {

  /** Time kept between the last answer and the end of the grace time. */
  private static final Duration MARGIN = Duration.ofMillis(600);

  /** Longest time of nearly all streams, resumed ones included; measured at 1 to 4 s. */
  private static final Duration LONGEST_STREAM = Duration.ofMillis(4500);

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

  /** Returns whether a request of the route can certainly be answered before the end. */
  boolean takes(RelayRoute route, Instant now) {
    Instant since = stoppingSince;
    if (since == null) {
      return true;
    }
    Duration timeout = Duration.ofMillis(route.timeoutMillis());
    boolean stream = route.kind() == RouteKind.STREAMING;
    Duration longest = stream && timeout.compareTo(LONGEST_STREAM) > 0 ? LONGEST_STREAM : timeout;
    return !now.plus(longest).isAfter(since.plus(grace).minus(MARGIN));
  }
}
