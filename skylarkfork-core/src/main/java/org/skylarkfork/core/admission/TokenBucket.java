package org.skylarkfork.core.admission;

import java.time.Duration;
import java.time.Instant;

/** Lets a rate through on average, and at most a bucketful at once. */
public final class TokenBucket {

  private static final double NANOS = 1e9;

  private double perSecond;
  private double most;
  private double level;
  private Instant filledAt;

  /**
   * Makes a full bucket.
   *
   * @param perSecond what comes in a second, above 0
   * @param most what it holds at the most, above 0
   * @param now the present time
   */
  public TokenBucket(double perSecond, double most, Instant now) {
    this.perSecond = perSecond;
    this.most = most;
    this.level = most;
    this.filledAt = now;
  }

  /** Follows a changed limit; what is in the bucket stays as far as it fits. */
  public void change(double newPerSecond, double newMost, Instant now) {
    fill(now);
    perSecond = newPerSecond;
    most = newMost;
    level = Math.min(level, most);
  }

  private void fill(Instant now) {
    if (now.isAfter(filledAt)) {
      double seconds = Duration.between(filledAt, now).toNanos() / NANOS;
      level = Math.min(most, level + seconds * perSecond);
      filledAt = now;
    }
  }

  /** Returns whether an amount is there; of more than a bucketful, whether the bucket is full. */
  public boolean has(double amount, Instant now) {
    fill(now);
    return level >= Math.min(amount, most) - 1e-9;
  }

  /** Takes an amount; below zero, later requests wait longer. */
  public void take(double amount, Instant now) {
    fill(now);
    level -= amount;
  }

  /** Gives back what was taken too much. */
  void giveBack(double amount, Instant now) {
    fill(now);
    level = Math.min(most, level + amount);
  }

  /** Returns in how many seconds an amount is there. */
  public double secondsUntil(double amount, Instant now) {
    fill(now);
    return Math.max(0, (amount - level) / perSecond);
  }
}
