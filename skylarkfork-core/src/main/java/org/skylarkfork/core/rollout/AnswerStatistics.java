package org.skylarkfork.core.rollout;

/**
 * Results of attempts, of which older ones may weigh less, and attempts without an answer so far.
 *
 * <p>A slow version's answers come late, so its first answers are its fastest ones. What unanswered
 * attempts have waited corrects for that.
 */
final class AnswerStatistics {

  private double answers;
  private double failures;
  private double millis;
  private double unanswered;
  private double waitedMillis;

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

  /** Adds attempts that were not answered in the time that they waited. */
  void addUnanswered(double attempts, double millisWaited) {
    unanswered += attempts;
    waitedMillis += millisWaited;
  }

  /** Returns these results with further unanswered attempts. */
  AnswerStatistics withUnanswered(double attempts, double millisWaited) {
    AnswerStatistics sum = copy();
    sum.addUnanswered(attempts, millisWaited);
    return sum;
  }

  /** Returns these results with further answers that took some time together. */
  AnswerStatistics withAnswers(double furtherAnswers, double furtherMillis) {
    AnswerStatistics sum = copy();
    sum.answers += furtherAnswers;
    sum.millis += furtherMillis;
    return sum;
  }

  private AnswerStatistics copy() {
    AnswerStatistics copy = new AnswerStatistics();
    copy.answers = answers;
    copy.failures = failures;
    copy.millis = millis;
    copy.unanswered = unanswered;
    copy.waitedMillis = waitedMillis;
    return copy;
  }

  /** Multiplies the weight of all results by a factor. */
  void scale(double factor) {
    answers *= factor;
    failures *= factor;
    millis *= factor;
    unanswered *= factor;
    waitedMillis *= factor;
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

  /** Returns the number of attempts for whose time to the first byte a lower bound is known. */
  double boundedAttempts() {
    return timedAnswers() + unanswered;
  }

  /** Returns the mean time to the first byte, in milliseconds; not a number without answers. */
  double meanMillis() {
    return millis / timedAnswers();
  }

  /** Returns a lower bound of the mean, as if all unanswered attempts were answered now. */
  double minMeanMillis() {
    return (millis + waitedMillis) / boundedAttempts();
  }

  /**
   * Returns the maximum-likelihood estimate of the mean for answers that come at a constant rate:
   * the time waited for all attempts by the number of answers.
   */
  double estimatedMeanMillis() {
    return (millis + waitedMillis) / timedAnswers();
  }

  /**
   * Returns the number of answers, of failures, the mean in milliseconds and what is unanswered.
   */
  @Override
  public String toString() {
    long mean = timedAnswers() > 0 ? Math.round(meanMillis()) : 0;
    String results = Math.round(answers) + "/" + Math.round(failures) + "/" + mean + "ms";
    return Math.round(unanswered) == 0
        ? results
        : results + "+" + Math.round(unanswered) + "/" + Math.round(waitedMillis) + "ms";
  }
}
