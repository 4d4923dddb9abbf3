package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.placement.RecentEstimates;

/**
 * Estimates how long answers take from their first byte to their end, for each model of a service.
 *
 * <p>The estimate is kept as milliseconds per output token that the caller expects. Callers'
 * estimates are right on average but far off in single cases, so the mean deviation of this ratio
 * shows how far the next one may be off, whatever the cause.
 */
final class AnswerTimes {

  /**
   * Weight of the newest answer in the mean and in the deviation; the newest forty make up most of
   * both.
   */
  private static final double SMOOTHING = 0.025;

  /** Minimum number of answers for an estimate. */
  private static final int MIN_ANSWERS = 8;

  private final RecentEstimates<MillisPerToken> byModel =
      new RecentEstimates<>(MillisPerToken::new);

  /**
   * Records an answer that has ended or was aborted.
   *
   * @param relay the request
   * @param millis time since the answer's first byte, in milliseconds
   * @param whole whether the answer is complete; an incomplete one would have taken longer
   */
  void recordEnd(ActiveRelay relay, double millis, boolean whole) {
    int tokens = relay.request.outputTokens();
    String model = relay.modelName();
    boolean resumed = relay.lastEventId != null;
    if (tokens <= 0 || model == null || resumed) {
      return;
    }
    MillisPerToken known = byModel.getOrCreate(key(relay, model));
    double ratio = millis / tokens;
    known.add(whole ? ratio : Math.max(ratio, known.mean + known.deviation));
  }

  /**
   * Returns the expected time from the first byte of an answer to its end, in milliseconds; 0 if
   * too few answers are known.
   *
   * @param relay the request
   * @param model the model that would answer
   * @param deviations mean deviations to add to the mean; below 0 for a time that few answers meet
   */
  double expectedMillis(ActiveRelay relay, String model, double deviations) {
    @Nullable MillisPerToken known = byModel.find(key(relay, model));
    if (known == null || known.answers < MIN_ANSWERS) {
      return 0;
    }
    double ratio = Math.max(0, known.mean + deviations * known.deviation);
    return relay.request.outputTokens() * ratio;
  }

  private static String key(ActiveRelay relay, String model) {
    return relay.service.name() + '/' + model;
  }

  private static final class MillisPerToken {
    private int answers;
    private double mean;
    private double deviation;

    private void add(double ratio) {
      answers++;
      double weight = Math.max(SMOOTHING, 1.0 / answers);
      deviation += weight * (Math.abs(ratio - mean) - deviation);
      mean += weight * (ratio - mean);
    }
  }
}
