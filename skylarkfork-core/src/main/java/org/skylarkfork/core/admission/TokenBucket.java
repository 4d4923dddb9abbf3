package org.skylarkfork.core.admission;

import java.time.Duration;
import java.time.Instant;

/** A token bucket that limits the average rate and the size of bursts. */
public final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private double perSecond;
  private double capacity;
  private double level;
  private Instant refilledAt;

  /**
   * Creates a full bucket.
   *
   * @param perSecond refill rate in tokens per second, above 0
   * @param capacity maximum number of tokens in the bucket, above 0
   * @param now the present time
   */
  public TokenBucket(double perSecond, double capacity, Instant now) {
    this.perSecond = perSecond;
    this.capacity = capacity;
    this.level = capacity;
    this.refilledAt = now;
  }

  /** Changes the rate and the capacity; the level is kept, up to the new capacity. */
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

  /**
   * Returns whether an amount is available; for one above the capacity, whether the bucket is full.
   */
  public boolean isAvailable(double amount, Instant now) {
    refill(now);
    return level >= Math.min(amount, capacity) - 1e-9;
  }

  /** Consumes an amount; a level below zero makes later requests wait longer. */
  public void consume(double amount, Instant now) {
    refill(now);
    level -= amount;
  }

  /** Refunds an amount that was consumed but not used; a negative amount is consumed as well. */
  void refund(double amount, Instant now) {
    refill(now);
    level = Math.min(capacity, level + amount);
  }

  /** Returns the time until an amount is available, in seconds; 0 if it is available now. */
  public double secondsUntil(double amount, Instant now) {
    refill(now);
    return Math.max(0, (amount - level) / perSecond);
  }
}
