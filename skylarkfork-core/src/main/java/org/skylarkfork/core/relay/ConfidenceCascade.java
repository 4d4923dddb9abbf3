package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * Tries the smallest model first and escalates to the largest if the answer's confidence is low.
 */
final class ConfidenceCascade implements ModelPolicy {

  /** Confidence from which on an answer of a smaller model is kept. */
  private static final int MIN_CONFIDENCE = 50;

  /** Wait at the engine, as a share of the objective, up to which requests escalate as usual. */
  private static final double NORMAL_WAIT = 0.1;

  /** Wait, as a share of the objective, from which on requests escalate as rarely as possible. */
  private static final double OVERLOAD_WAIT = 0.5;

  /**
   * Share of the caller's remaining time in which the first byte has to arrive if the time of the
   * rest of the answer is unknown.
   */
  private static final double FIRST_BYTE_SHARE = 0.4;

  /**
   * Share of the caller's remaining time in which the whole answer has to end if its time can be
   * estimated.
   */
  private static final double WHOLE_ANSWER_SHARE = 0.9;

  /** Share by which overload lowers the confidence threshold. */
  private static final double MAX_REDUCTION = 0.8;

  /**
   * Mean deviations that are added to the expected time of the larger model's answer if the
   * confidence of the present answer is close to the threshold.
   */
  private static final double THRESHOLD_DEVIATIONS = 0.5;

  /** The same if the present answer is certainly wrong. */
  private static final double WRONG_ANSWER_DEVIATIONS = -1;

  private final AnswerTimes times;

  /**
   * Creates the policy.
   *
   * @param times estimates how long answers of each model take
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
    return relay.confidence != null && relay.confidence < MIN_CONFIDENCE;
  }

  @Override
  public boolean shouldEscalate(ActiveRelay relay, Placement placement, Instant now) {
    Integer confidence = relay.confidence;
    if (confidence == null) {
      return false;
    }
    double waitShare = placement.waitMillis() / Math.max(1, relay.route.objectiveMillis());
    return confidence < threshold(waitShare) && isWorthwhile(relay, placement, waitShare, now);
  }

  /**
   * Returns whether the larger model's answer is worth its wait.
   *
   * <p>A right answer is worth more than a wrong one in time, even if its own prefill makes it
   * late. A right answer for which its caller can't wait is worth nothing, and the present answer
   * would be lost.
   */
  private boolean isWorthwhile(
      ActiveRelay relay, Placement placement, double waitShare, Instant now) {
    double expected = placement.firstByteMillis();
    double elapsedMillis = Duration.between(relay.arrivedAt, now).toMillis();
    double untilDeadline = Duration.between(now, relay.deadline).toMillis();
    boolean inTime = elapsedMillis + expected < relay.route.objectiveMillis();
    return endsInTime(relay, expected, untilDeadline) && (inTime || waitShare < NORMAL_WAIT);
  }

  /**
   * Returns whether the larger model's answer ends before the caller's deadline.
   *
   * <p>The largest model generates ten times as slowly as the smallest. When only its first byte
   * was considered, escalation began long answers that were cut off at their callers' deadline, in
   * place of complete answers that were available.
   */
  private boolean endsInTime(ActiveRelay relay, double firstByteMillis, double leftMillis) {
    int larger = largerModel(relay.route, relay.modelIndex);
    double remainingMillis =
        times.expectedMillis(relay, relay.route.models().get(larger), deviations(relay));
    return remainingMillis > 0
        ? firstByteMillis + remainingMillis < leftMillis * WHOLE_ANSWER_SHARE
        : firstByteMillis < leftMillis * FIRST_BYTE_SHARE;
  }

  /**
   * Returns the mean deviations to add to the expected time of the larger model's answer.
   *
   * <p>An answer that is certainly wrong is worth little, so the request escalates unless the
   * larger model's answer can hardly end in time. An answer with a confidence close to the
   * threshold is kept unless the larger model's answer will very likely end in time.
   */
  private static double deviations(ActiveRelay relay) {
    Integer confidence = relay.confidence;
    double missingConfidence =
        confidence == null ? 0 : 1 - Math.min(1, confidence / (double) MIN_CONFIDENCE);
    return THRESHOLD_DEVIATIONS
        - (THRESHOLD_DEVIATIONS - WRONG_ANSWER_DEVIATIONS) * missingConfidence;
  }

  /**
   * Returns the confidence from which on an answer is kept.
   *
   * <p>The largest model takes ten times the engine time of the smallest one. If requests escalated
   * at the usual rate while engines are late, every answer would be late; therefore only the least
   * confident answers escalate then.
   */
  private static double threshold(double waitShare) {
    double overload = (waitShare - NORMAL_WAIT) / (OVERLOAD_WAIT - NORMAL_WAIT);
    return MIN_CONFIDENCE * (1 - MAX_REDUCTION * Math.max(0, Math.min(1, overload)));
  }
}
