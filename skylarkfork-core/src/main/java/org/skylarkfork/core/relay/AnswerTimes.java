package org.skylarkfork.core.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * How long answers take from their first byte to their end, for each model of a service.
 *
 * <p>Kept as milliseconds for each token that the caller expects: callers' estimates are right in
 * the middle and far off in single cases, so that the mean deviation of this ratio tells how far
 * the next one may be off, whatever its cause.
 */
final class AnswerTimes {

  /** Weight of the newest answer in the mean and in the deviation; forty make most of both. */
  private static final double LEARNING = 0.025;

  /** Answers from which on the times count as known. */
  private static final int LEAST_ANSWERS = 8;

  private final Map<String, Ratio> byModel = new HashMap<>();

  /**
   * Takes note of an answer that has ended, or that was broken off.
   *
   * @param relay the request
   * @param expectedMillis time since the answer's first byte, in milliseconds
   * @param whole whether the answer was whole; if not, it would have taken longer
   */
  void recordEnd(ActiveRelay relay, double millis, boolean whole) {
    int tokens = relay.request.outputTokens();
    String model = relay.modelName();
    boolean resumed = relay.lastEventId != null;
    if (tokens <= 0 || model == null || resumed) {
      return;
    }
    Ratio known = byModel.computeIfAbsent(key(relay, model), missing -> new Ratio());
    double ratio = millis / tokens;
    known.add(whole ? ratio : Math.max(ratio, known.mean + known.deviation));
  }

  /**
   * Returns a time in which an answer may end after its first byte, in milliseconds; 0 if nothing
   * is known.
   *
   * @param relay the request
   * @param model the model that would answer
   * @param deviations mean deviations beyond the mean; below 0 for a time that few answers keep to
   */
  double expectedMillis(ActiveRelay relay, String model, double deviations) {
    Ratio known = byModel.get(key(relay, model));
    if (known == null || known.answers < LEAST_ANSWERS) {
      return 0;
    }
    double ratio = Math.max(0, known.mean + deviations * known.deviation);
    return relay.request.outputTokens() * ratio;
  }

  private static String key(ActiveRelay relay, String model) {
    return relay.service.name() + '/' + model;
  }

  private static final class Ratio {
    private int answers;
    private double mean;
    private double deviation;

    private void add(double ratio) {
      answers++;
      double weight = Math.max(LEARNING, 1.0 / answers);
      deviation += weight * (Math.abs(ratio - mean) - deviation);
      mean += weight * (ratio - mean);
    }
  }
}
