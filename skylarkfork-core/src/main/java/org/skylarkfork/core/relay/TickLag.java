package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Measures the delay of a daemon's ticks to detect that its CPU is saturated.
 *
 * <p>An entry on a throttled VM still answers all health checks, but each of its callers waits. The
 * entry itself is the first to detect this.
 */
final class TickLag {

  /** Time constant of the moving mean, in milliseconds. */
  private static final double SMOOTHING_MILLIS = 250;

  /** Mean lag above which the daemon becomes busy, in milliseconds; idle daemons have about 1. */
  private static final double BUSY_MILLIS = 40;

  /** Mean lag at or below which the daemon stops being busy, in milliseconds. */
  private static final double NOT_BUSY_MILLIS = 15;

  private final Duration period;
  private final double smoothingFactor;
  private @Nullable Instant tickedAt;
  private double lagMillis;
  private boolean busy;

  /**
   * Creates a measure.
   *
   * @param period expected interval between ticks
   */
  TickLag(Duration period) {
    this.period = period;
    this.smoothingFactor = period.toMillis() / SMOOTHING_MILLIS;
  }

  /** Records a tick. */
  void tick(Instant now) {
    if (tickedAt != null) {
      double delayMillis = Duration.between(tickedAt, now).minus(period).toMillis();
      lagMillis += smoothingFactor * (delayMillis - lagMillis);
      busy = lagMillis > (busy ? NOT_BUSY_MILLIS : BUSY_MILLIS);
    }
    tickedAt = now;
  }

  /** Returns whether the daemon's CPU is saturated. */
  boolean busy() {
    return busy;
  }
}
