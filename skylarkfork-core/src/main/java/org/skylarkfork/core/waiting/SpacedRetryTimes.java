package org.skylarkfork.core.waiting;

import java.time.Duration;
import java.time.Instant;
import org.skylarkfork.core.returning.RetryTimes;

/** Gives each refused caller a retry time one step after the last one. */
public final class SpacedRetryTimes implements RetryTimes {

  /** Weight of the newest interval between two ends in the mean. */
  private static final double SMOOTHING = 0.1;

  /** Step that is assumed before calls have ended, in milliseconds. */
  private static final double INITIAL_STEP_MILLIS = 10;

  /** Longest interval between two ends that counts; a longer one is a time without load. */
  private static final double MAX_STEP_MILLIS = 100;

  private double stepMillis = INITIAL_STEP_MILLIS;
  private Instant endedAt = Instant.EPOCH;
  private double nextMillis;

  @Override
  public void recordEnd(Instant now) {
    double interval = Math.min(MAX_STEP_MILLIS, Duration.between(endedAt, now).toMillis());
    stepMillis += SMOOTHING * (interval - stepMillis);
    endedAt = now;
  }

  @Override
  public long delayMillis(long expectedWaitMillis, int rank, long remainingMillis, Instant now) {
    double earliest = now.toEpochMilli() + Math.max(1, expectedWaitMillis);
    double time = Math.max(earliest, nextMillis);
    double delay = time - now.toEpochMilli();
    if (delay > remainingMillis / 3.0) {
      return 0;
    }
    nextMillis = time + stepMillis;
    return (long) Math.ceil(delay);
  }
}
