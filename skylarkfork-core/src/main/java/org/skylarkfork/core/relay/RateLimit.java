package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;

/**
 * How many requests a second an upstream says that it takes from all entries together.
 *
 * @param perSecond requests a second, at least 0; infinite if the upstream names no limit
 */
public record RateLimit(double perSecond) {

  /** What an upstream means that names no limit. */
  public static final RateLimit NONE = new RateLimit(Double.POSITIVE_INFINITY);

  /** Share by which two limits differ at the least that are told apart in logs and messages. */
  private static final double STEP = 0.1;

  /**
   * Checks the number.
   *
   * @throws IllegalArgumentException if it is negative or not a number
   */
  public RateLimit {
    if (!(perSecond >= 0)) {
      throw new IllegalArgumentException("a rate limit is a number from 0, not " + perSecond);
    }
  }

  /** Returns whether an upstream names a limit. */
  public boolean isBounded() {
    return perSecond < Double.POSITIVE_INFINITY;
  }

  /** Returns whether another limit is so close that the difference isn't worth a word. */
  boolean isNear(@Nullable RateLimit other) {
    return other != null
        && isBounded() == other.isBounded()
        && (!isBounded()
            || Math.abs(perSecond - other.perSecond)
                <= STEP * Math.max(perSecond, other.perSecond));
  }

  /** Returns the number as logs have it: {@code -} if there is no limit. */
  @Override
  public String toString() {
    return isBounded() ? Double.toString(perSecond) : "-";
  }
}
