package org.skylarkfork.core.admission;

import java.time.Duration;
import java.time.Instant;

/** Lets a rate through on average, and at most a bucketful at once. */
public final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private double perSecond;
  private double capacity;
  private double level;
  private Instant refilledAt;

  /**
   * Makes a full bucket.
   *
   * @param perSecond what comes in a second, above 0
   * @param capacity what it holds at the most, above 0
   * @param now the present time
   */
  public TokenBucket(double perSecond, double capacity, Instant now) {
    this.perSecond = perSecond;
    this.capacity = capacity;
    this.level = capacity;
    this.refilledAt = now;
  }

  /** Follows a changed limit; what is in the bucket stays as far as it fits. */
  public void reconfigure(double newPerSecond, double newCapacity, Instant now) {
    refill(now);
    perSecond = newPerSecond;
    capacity = newCapacity;
    level = Math.min(level, capacity);
  }

  private void refill(Instant now) {
    if (now.isAfter(refilledAt)) {
      double seconds = Duration.between(refilledAt, now).toNanos() / NANOS_PER_SECOND;
      level = Math.min(capacity, level + seconds * perSecond);
      refilledAt = now;
    }
  }

  /** Returns whether an amount is there; of more than a bucketful, whether the bucket is full. */
  public boolean isAvailable(double amount, Instant now) {
    refill(now);
    return level >= Math.min(amount, capacity) - 1e-9;
  }

  /** Takes an amount; below zero, later requests wait longer. */
  public void consume(double amount, Instant now) {
    refill(now);
    level -= amount;
  }

  /** Gives back what was taken too much. */
  void refund(double amount, Instant now) {
    refill(now);
    level = Math.min(capacity, level + amount);
  }

  /** Returns in how many seconds an amount is there. */
  public double secondsUntil(double amount, Instant now) {
    refill(now);
    return Math.max(0, (amount - level) / perSecond);
  }
}
