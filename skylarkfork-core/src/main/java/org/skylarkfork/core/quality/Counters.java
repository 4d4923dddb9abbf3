package org.skylarkfork.core.quality;

import java.util.Arrays;

/** The layout of the counts of one key and epoch, and operations on them. */
final class Counters {

  /** Number of equal classes of ratings from 0 to 1. */
  static final int RATING_CLASSES = 20;

  /** Number of classes of times to the first token. */
  static final int DELAY_CLASSES = 24;

  static final int ATTEMPTS = RATING_CLASSES;
  static final int ERRORS = ATTEMPTS + 1;
  static final int BROKEN = ERRORS + 1;
  static final int DELAYS = BROKEN + 1;
  static final int TIMED = DELAYS + DELAY_CLASSES;
  static final int MILLIS = TIMED + 1;
  static final int TOKENS = MILLIS + 1;
  static final int SIZE = TOKENS + 1;

  /** Upper bound of the first class of delays in milliseconds. */
  private static final double FIRST_DELAY_MILLIS = 10;

  private static final double CLASSES_PER_DOUBLING = 2;

  private Counters() {}

  /** Returns the counts of one outcome. */
  static long[] of(AttemptOutcome outcome) {
    long[] counts = new long[SIZE];
    if (outcome.rating() != null) {
      counts[ratingClass(outcome.rating())] = 1;
    }
    if (outcome.ending() == AttemptOutcome.Ending.RATED_LATER) {
      return counts;
    }
    counts[ATTEMPTS] = 1;
    if (outcome.firstTokenMillis() != null) {
      counts[DELAYS + delayClass(outcome.firstTokenMillis())] = 1;
    }
    switch (outcome.ending()) {
      case ERROR -> counts[ERRORS] = 1;
      case EMPTY, CUT -> counts[BROKEN] = 1;
      default -> countWhole(outcome, counts);
    }
    return counts;
  }

  private static void countWhole(AttemptOutcome outcome, long[] counts) {
    if (outcome.totalMillis() != null) {
      counts[TIMED] = 1;
      counts[MILLIS] = Math.max(0, outcome.totalMillis());
      counts[TOKENS] = Math.max(0, outcome.completionTokens());
    }
  }

  static int ratingClass(double rating) {
    int index = (int) Math.floor(rating * RATING_CLASSES + 1e-9);
    return Math.max(0, Math.min(RATING_CLASSES - 1, index));
  }

  static int delayClass(long millis) {
    double ratio = Math.max(millis, 1) / FIRST_DELAY_MILLIS;
    int index = (int) Math.ceil(CLASSES_PER_DOUBLING * Math.log(ratio) / Math.log(2));
    return Math.max(0, Math.min(DELAY_CLASSES - 1, index));
  }

  /** Returns the midpoint of a class of ratings. */
  static double ratingValue(int ratingClass) {
    return (ratingClass + 0.5) / RATING_CLASSES;
  }

  static long ratings(long[] counts) {
    long sum = 0;
    for (int i = 0; i < RATING_CLASSES; i++) {
      sum += counts[i];
    }
    return sum;
  }

  static void add(long[] sum, long[] counts) {
    Arrays.setAll(sum, i -> sum[i] + counts[i]);
  }
}
