package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * How late a daemon's ticks come, which shows that its processor has no time left.
 *
 * <p>An entry on a VM that was slowed down still answers all questions for its health, but each of
 * its callers waits. It learns of that first, and by itself.
 */
final class TickLag {

  /** Time whose ticks make most of the mean, in milliseconds. */
  private static final double SMOOTHING_MILLIS = 250;

  /** Mean lag from which on the daemon counts as busy, in milliseconds; idle ones have about 1. */
  private static final double BUSY_MILLIS = 40;

  /** Mean lag below which it no longer does, in milliseconds. */
  private static final double NOT_BUSY_MILLIS = 15;

  private final Duration period;
  private final double smoothingFactor;
  private @Nullable Instant tickedAt;
  private double lagMillis;
  private boolean busy;

  /**
   * Makes a measure.
   *
   * @param period time between two ticks
   */
  TickLag(Duration period) {
    this.period = period;
    this.smoothingFactor = period.toMillis() / SMOOTHING_MILLIS;
  }

  /** Takes note of a tick. */
  void tick(Instant now) {
    if (tickedAt != null) {
      double late = Duration.between(tickedAt, now).minus(period).toMillis();
      lagMillis += smoothingFactor * (late - lagMillis);
      busy = lagMillis > (busy ? NOT_BUSY_MILLIS : BUSY_MILLIS);
    }
    tickedAt = now;
  }

  /** Returns whether the daemon has more to do than its processor can. */
  boolean busy() {
    return busy;
  }
}
