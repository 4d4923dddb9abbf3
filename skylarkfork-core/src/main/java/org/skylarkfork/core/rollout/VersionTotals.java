package org.skylarkfork.core.rollout;

/**
 * Results of attempts at one or several versions.
 *
 * @param answers number of attempts that ended, including failures
 * @param failures number of attempts that failed at the upstream
 * @param firstByteMillis sum of the times to the first byte of successful answers, in milliseconds
 */
public record VersionTotals(long answers, long failures, long firstByteMillis) {

  /** No results. */
  public static final VersionTotals NONE = new VersionTotals(0, 0, 0);

  /** Returns the results of one entry's counts. */
  static VersionTotals of(VersionCounts counts) {
    return new VersionTotals(counts.answers(), counts.failures(), counts.firstByteMillis());
  }

  /** Returns the number of answers whose time to the first byte is known. */
  long timedAnswers() {
    return answers - failures;
  }

  VersionTotals plus(VersionTotals other) {
    return new VersionTotals(
        answers + other.answers,
        failures + other.failures,
        firstByteMillis + other.firstByteMillis);
  }

  VersionTotals minus(VersionTotals earlier) {
    return new VersionTotals(
        answers - earlier.answers,
        failures - earlier.failures,
        firstByteMillis - earlier.firstByteMillis);
  }
}
