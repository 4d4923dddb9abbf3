package org.skylarkfork.core.order;

import java.time.Duration;
import java.time.Instant;

/**
 * Measures a lower bound of the elapsed time, and detects a clock that was set back.
 *
 * <p>A clock that is set forward must not end a wait early, and one that is set back must not
 * extend the validity of a lease. The time between two updates counts up to {@link #MAX_STEP} only,
 * so a jump shortens a wait by that at most.
 */
final class BoundedElapsedTime {

  /** Largest time that one update adds. */
  static final Duration MAX_STEP = Duration.ofMillis(100);

  private Instant last = Instant.MIN;
  private Duration elapsed = Duration.ZERO;

  /** Adds the time since the last update; returns false if the clock was set back since then. */
  boolean update(Instant now) {
    if (last.equals(Instant.MIN)) {
      last = now;
      return true;
    }
    Duration step = Duration.between(last, now);
    last = now;
    if (step.isNegative()) {
      return false;
    }
    elapsed = elapsed.plus(step.compareTo(MAX_STEP) < 0 ? step : MAX_STEP);
    return true;
  }

  /** Returns a lower bound of the time since the first update. */
  Duration elapsed() {
    return elapsed;
  }
}
