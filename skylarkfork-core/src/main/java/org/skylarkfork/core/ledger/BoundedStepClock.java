package org.skylarkfork.core.ledger;

import java.time.Duration;
import java.time.Instant;

/**
 * The time by which a ledger forgets, which a jump of a leader's clock can't rush.
 *
 * <p>A leader whose clock is a day ahead would else expire every claim at its first command, and a
 * resend of a request that ran would run again. Each command moves this time by at most {@link
 * #LONGEST_STEP}, so it runs with the leader's clock while there is work and lags when there is
 * none: claims are kept longer than the stated time, never shorter by more than one step a jump.
 */
final class BoundedStepClock {

  /** Most that one command moves the time. */
  static final Duration LONGEST_STEP = Duration.ofMinutes(1);

  private Instant stampedAt = Instant.EPOCH;
  private Instant time = Instant.EPOCH;

  /** Moves the time on to a command and returns it. */
  Instant advance(Instant commandStampedAt) {
    if (stampedAt.equals(Instant.EPOCH)) {
      time = commandStampedAt;
    } else if (commandStampedAt.isAfter(stampedAt)) {
      Duration step = Duration.between(stampedAt, commandStampedAt);
      time = time.plus(step.compareTo(LONGEST_STEP) < 0 ? step : LONGEST_STEP);
    }
    if (commandStampedAt.isAfter(stampedAt)) {
      stampedAt = commandStampedAt;
    }
    return time;
  }

  /** Goes to the state of a snapshot. */
  void restore(Instant newStampedAt, Instant newTime) {
    stampedAt = newStampedAt;
    time = newTime;
  }

  /** Returns the newest leader's time seen. */
  Instant stampedAt() {
    return stampedAt;
  }

  /** Returns the present time. */
  Instant time() {
    return time;
  }
}
