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

  /**
   * Returns whether a request completes within the grace period, whatever it takes.
   *
   * @param timeout time after which the request is answered in any case
   * @param now the present time
   */
  boolean accepts(Duration timeout, Instant now) {
    Instant since = stoppingSince;
    return since == null || !now.plus(timeout).isAfter(since.plus(grace).minus(MARGIN));
  }
}
