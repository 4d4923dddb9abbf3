package org.skylarkfork.core.rollout;

/** Compares the results of a new version with those of the version that it replaces. */
final class VersionComparison {

  /** Minimum number of timed or unanswered attempts of each version to compare its latency. */
  static final int MIN_TIMED_ANSWERS = 14;

  /** Minimum number of failures of a bad version; fewer are too often due to chance. */
  private static final double MIN_FAILURES = 4.0;

  /** Ratio of mean latencies above which the new version is bad; a new engine is cold at first. */
  private static final double MAX_LATENCY_RATIO = 2.5;

  /** Ratio of mean latencies up to which chance in a few answers doesn't hide a bad version. */
  private static final double CLEARLY_GOOD_RATIO = 1.5;

  /** Minimum expected failure rate, which also stands in for an old version without statistics. */
  private static final double MIN_EXPECTED_FAILURE_RATE = 0.02;

  private static final double MAX_STANDARD_DEVIATIONS = 3.0;

  /** Outcome of a comparison. */
  enum Outcome {
    /** The new version fails more often or is slower. */
    WORSE,
    /** The new version neither fails more often nor is slower. */
    NOT_WORSE,
    /** There are too few results of one of the versions. */
    UNKNOWN
  }

  private VersionComparison() {}

  /**
   * Compares a new version with the old one.
   *
   * @param target results of the new version
   * @param others results of the old version
   * @param minTimedAnswers number of timed answers of the new version below which it isn't known
   *     whether it is as good as the old one; as many answered or waiting ones may prove it slower
   */
  static Outcome compare(AnswerStatistics target, AnswerStatistics others, int minTimedAnswers) {
    if (failsMoreOften(target, others)) {
      return Outcome.WORSE;
    }
    if (target.boundedAttempts() < minTimedAnswers || others.timedAnswers() < MIN_TIMED_ANSWERS) {
      return Outcome.UNKNOWN;
    }
    double maxMillis = MAX_LATENCY_RATIO * others.meanMillis();
    if (target.minMeanMillis() > maxMillis) {
      return Outcome.WORSE;
    }
    boolean isAnswered = target.timedAnswers() >= minTimedAnswers;
    return isAnswered && target.estimatedMeanMillis() <= maxMillis
        ? Outcome.NOT_WORSE
        : Outcome.UNKNOWN;
  }

  /**
   * Returns whether a new version's latency is so good that more answers would hardly prove it bad.
   */
  static boolean isClearlyGood(AnswerStatistics target, AnswerStatistics others) {
    return target.estimatedMeanMillis() <= CLEARLY_GOOD_RATIO * others.meanMillis();
  }

  private static boolean failsMoreOften(AnswerStatistics target, AnswerStatistics others) {
    double failureRate =
        others.answers() < 1
            ? MIN_EXPECTED_FAILURE_RATE
            : Math.max(MIN_EXPECTED_FAILURE_RATE, others.failures() / others.answers());
    double expected = target.answers() * failureRate;
    return target.failures() >= MIN_FAILURES
        && target.failures() > expected + MAX_STANDARD_DEVIATIONS * Math.sqrt(expected);
  }
}
