package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;

/** Asks the smallest model first and the largest where that one doubts its answer. */
final class ConfidenceCascade implements ModelPolicy {

  /** Confidence from which on an answer of a smaller model is kept. */
  private static final int KEPT = 50;

  /** Share of the objective within which a larger model can still be in time. */
  private static final double LATEST_SHARE = 0.6;

  @Override
  public int first(RelayRoute route, RelayRequest request) {
    return 0;
  }

  @Override
  public int larger(RelayRoute route, int model, @Nullable Integer confidence, long usedMillis) {
    int largest = route.models().size() - 1;
    boolean inTime = usedMillis < route.objectiveMillis() * LATEST_SHARE;
    boolean doubted = confidence != null && confidence < KEPT;
    return model < largest && inTime && doubted ? largest : -1;
  }
}
