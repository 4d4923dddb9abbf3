package org.skylarkfork.core.rollout;

/** Results of attempts, of which older ones may weigh less. */
final class AnswerStatistics {

  private double answers;
  private double failures;
  private double millis;

  /** Creates statistics without results. */
  AnswerStatistics() {}

  /** Creates statistics of results that all weigh the same. */
  AnswerStatistics(VersionTotals totals) {
    add(totals);
  }

  void add(VersionTotals totals) {
    answers += totals.answers();
    failures += totals.failures();
    millis += totals.firstByteMillis();
  }

  /** Multiplies the weight of all results by a factor. */
  void scale(double factor) {
    answers *= factor;
    failures *= factor;
    millis *= factor;
  }

  double answers() {
    return answers;
  }

  double failures() {
    return failures;
  }

  /** Returns the number of answers whose time to the first byte is known. */
  double timedAnswers() {
    return answers - failures;
  }

  /** Returns the mean time to the first byte, in milliseconds; not a number without answers. */
  double meanMillis() {
    return millis / timedAnswers();
  }

  /** Returns the number of answers, the number of failures and the mean in milliseconds. */
  @Override
  public String toString() {
    long mean = timedAnswers() > 0 ? Math.round(meanMillis()) : 0;
    return Math.round(answers) + "/" + Math.round(failures) + "/" + mean + "ms";
  }
}
