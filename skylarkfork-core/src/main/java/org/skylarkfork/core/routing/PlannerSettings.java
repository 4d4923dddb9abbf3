package org.skylarkfork.core.routing;

/**
 * How the least-cost planner weighs plans.
 *
 * @param ratingCostMicros cost of one rating in millionths of the currency unit
 * @param ratingLatencyMillis usual time to a rating in milliseconds
 * @param uncertaintyMargin how many standard deviations an estimate is taken below its mean
 * @param deadlineFactor factor on expected times that must still fit before the deadline
 * @param defaultLatencyMillis time to a whole answer in milliseconds where none was seen yet
 * @param explorationShare share of requests that may spend more to learn of a cheaper version
 * @param minExplorationDeviation standard deviation from which a version is worth learning of
 */
public record PlannerSettings(
    double ratingCostMicros,
    double ratingLatencyMillis,
    double uncertaintyMargin,
    double deadlineFactor,
    double defaultLatencyMillis,
    double explorationShare,
    double minExplorationDeviation) {

  /** One half deviation of caution; one request in fifty explores. */
  public static final PlannerSettings DEFAULT =
      new PlannerSettings(0, 300, 0.5, 1.5, 3_000, 0.02, 0.05);
}
