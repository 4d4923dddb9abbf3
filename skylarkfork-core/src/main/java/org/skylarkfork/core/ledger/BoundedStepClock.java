package org.skylarkfork.core.ledger;

import java.time.Duration;
import java.time.Instant;

/**
 * Clock by which a ledger expires its records; a jump of a leader's clock advances it by one step
 * at most.
 *
 * <p>Without this limit, the first command of a leader whose clock is a day ahead would expire
 * every claim, and a resend of a request that ran would run again. Each command advances this clock
 * by at most {@link #MAX_STEP}, so it follows the leader's clock under load and lags when there are
 * no commands. Claims are therefore kept for longer than the configured time, and each jump
 * shortens that time by one step at most.
 */
final class BoundedStepClock {

  /** Largest advance by one command. */
  static final Duration MAX_STEP = Duration.ofMinutes(1);

  private Instant stampedAt = Instant.EPOCH;
  private Instant time = Instant.EPOCH;

  /**
   * Advances the clock to the time stamp of a command.
   *
   * @return the ledger time
   */
  Instant advance(Instant commandStampedAt) {
    if (stampedAt.equals(Instant.EPOCH)) {
      time = commandStampedAt;
    } else if (commandStampedAt.isAfter(stampedAt)) {
      Duration step = Duration.between(stampedAt, commandStampedAt);
      time = time.plus(step.compareTo(MAX_STEP) < 0 ? step : MAX_STEP);
    }
    if (commandStampedAt.isAfter(stampedAt)) {
      stampedAt = commandStampedAt;
    }
    return time;
  }

  /** Restores the state of a snapshot. */
  void restore(Instant newStampedAt, Instant newTime) {
    stampedAt = newStampedAt;
    time = newTime;
  }

  /** Returns the newest time stamp of a command, by the clock of its leader. */
  Instant stampedAt() {
    return stampedAt;
  }

  /** Returns the ledger time. */
  Instant time() {
    return time;
  }
}
