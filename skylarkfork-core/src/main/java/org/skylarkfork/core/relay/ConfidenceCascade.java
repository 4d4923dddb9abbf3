package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;

/** Asks the smallest model first and the largest where that one doubts its answer. */
final class ConfidenceCascade implements ModelPolicy {

  /** Confidence from which on an answer of a smaller model is kept. */
  private static final int KEPT = 50;

  /** Pressure up to which answers are asked again as usual; a calm day has about 0.15. */
  private static final double RELAXED = 0.25;

  /** Pressure from which on answers are asked again as seldom as possible. */
  private static final double STRAINED = 0.55;

  /** Share by which the kept confidence falls under strain. */
  private static final double LARGEST_RELIEF = 0.7;

  /** Share of the objective within which a larger model can still be in time. */
  private static final double LATEST_SHARE = 0.6;

  @Override
  public int first(RelayRoute route, RelayRequest request) {
    return 0;
  }

  @Override
  public int larger(
      RelayRoute route, int model, @Nullable Integer confidence, long usedMillis, double pressure) {
    int largest = route.models().size() - 1;
    boolean inTime = usedMillis < route.objectiveMillis() * LATEST_SHARE;
    boolean doubted = confidence != null && confidence < kept(pressure);
    return model < largest && inTime && doubted ? largest : -1;
  }

  /**
   * Returns the confidence from which on an answer is kept.
   *
   * <p>The largest model takes ten times the smallest one's time of an engine. Asked as often as
   * usual while engines are late, it makes every answer late; then only the most doubtful answers
   * are asked again.
   */
  private static double kept(double pressure) {
    double relief = (pressure - RELAXED) / (STRAINED - RELAXED);
    return KEPT * (1 - LARGEST_RELIEF * Math.max(0, Math.min(1, relief)));
  }
}
