package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;

/** Asks the smallest model first and the largest where that one doubts its answer. */
final class ConfidenceCascade implements ModelPolicy {

  /** Confidence from which on an answer of a smaller model is kept. */
  private static final int KEPT = 50;

  /** Wait at the engine, as a share of the objective, up to which answers are asked as usual. */
  private static final double RELAXED = 0.1;

  /** Wait, as a share of the objective, from which on they are asked as seldom as possible. */
  private static final double STRAINED = 0.5;

  /**
   * Share of the caller's time that may be over at the first byte where nothing is known of the
   * rest of the answer.
   */
  private static final double LATEST_SHARE = 0.4;

  /** Share of the caller's time in which an answer is to end, as far as its length is known. */
  private static final double WHOLE_SHARE = 0.9;

  /** Share by which the kept confidence falls under strain. */
  private static final double LARGEST_RELIEF = 0.8;

  /**
   * Deviations of the answer's time that are allowed for where the answer at hand is kept almost.
   */
  private static final double LEAST_RISK = 0.5;

  /** The same where the answer at hand is surely wrong. */
  private static final double MOST_RISK = -1;

  private final AnswerTimes times;

  /**
   * Makes the policy.
   *
   * @param times how long answers of each model take
   */
  ConfidenceCascade(AnswerTimes times) {
    this.times = times;
  }

  @Override
  public int firstModel(RelayRoute route, RelayRequest request) {
    return 0;
  }

  @Override
  public int largerModel(RelayRoute route, int model) {
    int largest = route.models().size() - 1;
    return model < largest ? largest : -1;
  }

  @Override
  public boolean wouldEscalate(ActiveRelay relay) {
    return relay.confidence != null && relay.confidence < KEPT;
  }

  @Override
  public boolean shouldEscalate(ActiveRelay relay, Placement placement, Instant now) {
    Integer confidence = relay.confidence;
    if (confidence == null) {
      return false;
    }
    double strain = placement.waitMillis() / Math.max(1, relay.route.objectiveMillis());
    return confidence < kept(strain) && isWorthwhile(relay, placement, strain, now);
  }

  /**
   * Returns whether the larger model's answer is worth its wait.
   *
   * <p>A right answer that is late for its own reading alone is worth more than a wrong one in
   * time. One that its caller can't wait for is worth nothing, and the present answer would be
   * lost.
   */
  private boolean isWorthwhile(ActiveRelay relay, Placement placement, double strain, Instant now) {
    double expected = placement.firstByteMillis();
    double used = Duration.between(relay.arrivedAt, now).toMillis();
    double left = Duration.between(now, relay.deadline).toMillis();
    boolean inTime = used + expected < relay.route.objectiveMillis();
    return ends(relay, expected, left) && (inTime || strain < RELAXED);
  }

  /**
   * Returns whether the larger model's answer ends before its caller is gone.
   *
   * <p>The largest model writes ten times as slowly as the smallest. Asked by its first byte alone,
   * it began long answers that broke off at their callers' deadline, in place of ones at hand.
   */
  private boolean ends(ActiveRelay relay, double firstByteMillis, double leftMillis) {
    int larger = largerModel(relay.route, relay.modelIndex);
    double whole = times.expectedMillis(relay, relay.route.models().get(larger), deviations(relay));
    return whole > 0
        ? firstByteMillis + whole < leftMillis * WHOLE_SHARE
        : firstByteMillis < leftMillis * LATEST_SHARE;
  }

  /**
   * Returns how far the length of the larger model's answer may be off for it to be asked.
   *
   * <p>An answer that is surely wrong is worth little, so that the larger model is asked unless it
   * can hardly end; one that is doubted just so is kept unless the other one ends in all
   * likelihood.
   */
  private static double deviations(ActiveRelay relay) {
    Integer confidence = relay.confidence;
    double doubt = confidence == null ? 0 : 1 - Math.min(1, confidence / (double) KEPT);
    return LEAST_RISK - (LEAST_RISK - MOST_RISK) * doubt;
  }

  /**
   * Returns the confidence from which on an answer is kept.
   *
   * <p>The largest model takes ten times the smallest one's time of an engine. Asked as often as
   * usual while engines are late, it makes every answer late; then only the most doubtful answers
   * are asked again.
   */
  private static double kept(double strain) {
    double relief = (strain - RELAXED) / (STRAINED - RELAXED);
    return KEPT * (1 - LARGEST_RELIEF * Math.max(0, Math.min(1, relief)));
  }
}
