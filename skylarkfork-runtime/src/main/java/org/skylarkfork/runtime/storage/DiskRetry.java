package org.skylarkfork.runtime.storage;

import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Decides when an operation that failed is tried again, and logs the first failure and the end.
 *
 * <p>Times are those of {@link System#nanoTime}.
 */
final class DiskRetry {

  /** Shortest pause, in nanoseconds; short compared with an election. */
  static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Longest pause, in nanoseconds; an attempt may read and write a whole segment. */
  static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final String subject;
  private int failures;
  private long failingSince;
  private long nextAttemptAt;
  private long pause;

  /**
   * Creates an instance without a failure.
   *
   * @param subject what is tried, for the log
   */
  DiskRetry(String subject) {
    this.subject = subject;
  }

  /** Returns whether the last attempt failed. */
  boolean isFailing() {
    return failures > 0;
  }

  /** Returns the time in nanoseconds until the next attempt, or 0 if it is due. */
  long pauseLeft(long now) {
    return isFailing() ? Math.max(0, nextAttemptAt - now) : 0;
  }

  /** Records a failed attempt and schedules the next one. */
  void failed(Exception failure, long now) {
    if (failures == 0) {
      failingSince = now;
      Logger.warn(
          failure,
          "storage: refused {}; retried until the disk accepts it, nothing is acknowledged",
          subject);
    }
    failures++;
    pause = failures == 1 ? MIN_PAUSE_NANOS : Math.min(MAX_PAUSE_NANOS, 2 * pause);
    nextAttemptAt = now + pause;
  }

  /** Records a successful attempt. */
  void succeeded(long now) {
    if (failures == 0) {
      return;
    }
    long millis = TimeUnit.NANOSECONDS.toMillis(now - failingSince);
    Logger.info("storage: accepted {} after {} refusals in {} ms", subject, failures, millis);
    failures = 0;
  }
}
