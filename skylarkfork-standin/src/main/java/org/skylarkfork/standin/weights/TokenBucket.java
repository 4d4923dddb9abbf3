package org.skylarkfork.standin.weights;

import java.time.Duration;
import java.time.Instant;

/** Limits a rate and allows a burst; safe for use by several threads. */
public final class TokenBucket {

  private static final double NANOS = 1e9;

  private final double perSecond;
  private final int burst;
  private double tokens;
  private Instant filled;

  /**
   * Makes a full bucket.
   *
   * @param perSecond the tokens that come back per second, above 0
   * @param burst the most tokens that the bucket holds, at least 1
   * @param now the present time
   */
  public TokenBucket(double perSecond, int burst, Instant now) {
    this.perSecond = perSecond;
    this.burst = burst;
    this.tokens = burst;
    this.filled = now;
  }

  /**
   * Takes a token if there is one.
   *
   * @param now the present time
   * @return zero if a token was taken, otherwise the time until there is one
   */
  public synchronized Duration take(Instant now) {
    fill(now);
    if (tokens >= 1) {
      tokens--;
      return Duration.ZERO;
    }
    return Duration.ofNanos((long) Math.ceil((1 - tokens) / perSecond * NANOS));
  }

  private void fill(Instant now) {
    if (now.isAfter(filled)) {
      double seconds = Duration.between(filled, now).toNanos() / NANOS;
      tokens = Math.min(burst, tokens + seconds * perSecond);
      filled = now;
    }
  }
}
