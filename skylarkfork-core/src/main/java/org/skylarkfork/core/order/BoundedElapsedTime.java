package org.skylarkfork.core.order;

import java.time.Duration;
import java.time.Instant;

/**
 * Counts time that has surely passed and notices a clock that was set back.
 *
 * <p>A clock that is set forward must not end a wait early, and one that is set back must not make
 * a lease seem valid for longer. The time between two looks counts up to {@link #LONGEST_STEP}
 * only, so a jump shortens a wait by at most that.
 */
final class BoundedElapsedTime {

  /** Most that passes between two looks. */
  static final Duration LONGEST_STEP = Duration.ofMillis(100);

  private Instant last = Instant.MIN;
  private Duration passed = Duration.ZERO;

  /** Looks at the clock; returns false if it was set back since the last look. */
  boolean look(Instant now) {
    if (last.equals(Instant.MIN)) {
      last = now;
      return true;
    }
    Duration step = Duration.between(last, now);
    last = now;
    if (step.isNegative()) {
      return false;
    }
    passed = passed.plus(step.compareTo(LONGEST_STEP) < 0 ? step : LONGEST_STEP);
    return true;
  }

  /** Returns how much time has surely passed since the first look. */
  Duration passed() {
    return passed;
  }
}
