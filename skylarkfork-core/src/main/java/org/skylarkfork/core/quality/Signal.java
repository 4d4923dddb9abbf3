package org.skylarkfork.core.quality;

import java.util.Locale;

/** What a version is compared by; each gives values from 0, bad, to 1, good. */
enum Signal {
  /** Ratings of answers. */
  RATING(Counters.RATING_CLASSES, 360, 0.5),
  /** Attempts that ended with an error. */
  ERRORS(2, 360, 0.2),
  /** Answers that were empty or cut. */
  BROKEN_ANSWERS(2, 360, 0.2),
  /** First tokens that came late, against a version that works under the same load. */
  FIRST_TOKEN(2, 60, 0.1);

  private static final double SLOW_QUANTILE = 0.9;

  /** Two classes of delays are one doubling. */
  private static final int SLOWDOWN_CLASSES = 2;

  private final int classes;
  private final int windowEpochs;
  private final double falseAlarmShare;

  Signal(int classes, int windowEpochs, double share) {
    this.classes = classes;
    this.windowEpochs = windowEpochs;
    this.falseAlarmShare = share;
  }

  /** Returns its share of the bound for false alarms; the shares sum to 1. */
  double falseAlarmShare() {
    return falseAlarmShare;
  }

  int classes() {
    return classes;
  }

  /** Returns how many epochs it looks back; load changes faster than quality. */
  int windowEpochs() {
    return windowEpochs;
  }

  /** Returns the value of a class. */
  double value(int index) {
    return this == RATING ? Counters.ratingValue(index) : index;
  }

  /**
   * Returns how often a class was seen.
   *
   * @param firstSlowClass first class of delays that counts as late
   */
  long count(long[] counts, int index, int firstSlowClass) {
    return switch (this) {
      case RATING -> counts[index];
      case ERRORS -> binaryCount(counts[Counters.ERRORS], counts[Counters.ATTEMPTS], index);
      case BROKEN_ANSWERS ->
          binaryCount(
              counts[Counters.BROKEN], counts[Counters.ATTEMPTS] - counts[Counters.ERRORS], index);
      case FIRST_TOKEN -> binaryCount(delays(counts, firstSlowClass), delays(counts, 0), index);
    };
  }

  /** Returns the first class of delays that is late against a reference: twice its slow ones. */
  static int firstSlowClass(long[] reference) {
    long quantileCount = (long) Math.ceil(SLOW_QUANTILE * delays(reference, 0));
    long sum = 0;
    for (int i = 0; i < Counters.DELAY_CLASSES; i++) {
      sum += reference[Counters.DELAYS + i];
      if (sum >= quantileCount) {
        return i + SLOWDOWN_CLASSES + 1;
      }
    }
    return Counters.DELAY_CLASSES;
  }

  private static long binaryCount(long bad, long total, int index) {
    return index == 0 ? bad : Math.max(0, total - bad);
  }

  private static long delays(long[] counts, int from) {
    long sum = 0;
    for (int i = from; i < Counters.DELAY_CLASSES; i++) {
      sum += counts[Counters.DELAYS + i];
    }
    return sum;
  }

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
