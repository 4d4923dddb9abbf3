package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;

/**
 * The number of requests per second that an upstream accepts from all entries together, as it
 * reports in its answers.
 *
 * @param perSecond requests per second, at least 0; infinite if the upstream reports no limit
 */
public record RateLimit(double perSecond) {

  /** The value for an upstream that reports no limit. */
  public static final RateLimit NONE = new RateLimit(Double.POSITIVE_INFINITY);

  /** Relative difference up to which two limits count as equal in logs and messages. */
  private static final double TOLERANCE = 0.1;

  /**
   * Validates the rate.
   *
   * @throws IllegalArgumentException if the rate is negative or not a number
   */
  public RateLimit {
    if (!(perSecond >= 0)) {
      throw new IllegalArgumentException(
          "a rate limit must be a number of at least 0, not " + perSecond);
    }
  }

  /** Returns whether the upstream reports a limit. */
  public boolean isBounded() {
    return perSecond < Double.POSITIVE_INFINITY;
  }

  /**
   * Returns whether another limit is so close that the difference isn't reported; false for null.
   */
  boolean isNear(@Nullable RateLimit other) {
    return other != null
        && isBounded() == other.isBounded()
        && (!isBounded()
            || Math.abs(perSecond - other.perSecond)
                <= TOLERANCE * Math.max(perSecond, other.perSecond));
  }

  /** Returns the rate as it is logged: {@code -} if there is no limit. */
  @Override
  public String toString() {
    return isBounded() ? Double.toString(perSecond) : "-";
  }
}
