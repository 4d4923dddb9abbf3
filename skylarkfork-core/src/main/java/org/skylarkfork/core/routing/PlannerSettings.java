package org.skylarkfork.core.routing;

/**
 * Settings of the {@link LeastCostPlanner}.
 *
 * @param ratingCostMicros cost of one rating in millionths of the currency unit
 * @param ratingLatencyMillis expected time for a rating in milliseconds
 * @param uncertaintyMargin number of standard deviations subtracted from the mean of an estimate
 * @param deadlineFactor safety factor on expected times; the product must not exceed the time left
 *     before the deadline
 * @param defaultLatencyMillis expected time for a whole answer, in milliseconds, of a version that
 *     has no measured latency yet
 * @param explorationShare share of requests, 0 to 1, that may run an uncertain cheaper version
 *     first
 * @param minExplorationDeviation minimum standard deviation of the estimate of a version that is
 *     explored
 */
public record PlannerSettings(
    double ratingCostMicros,
    double ratingLatencyMillis,
    double uncertaintyMargin,
    double deadlineFactor,
    double defaultLatencyMillis,
    double explorationShare,
    double minExplorationDeviation) {

  /** Half a standard deviation of uncertainty margin; one request in fifty explores. */
  public static final PlannerSettings DEFAULT =
      new PlannerSettings(0, 300, 0.5, 1.5, 3_000, 0.02, 0.05);
}
