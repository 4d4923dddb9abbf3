package org.skylarkfork.core.routing;

/**
 * How the least-cost planner weighs plans.
 *
 * @param ratingMicros cost of one rating in millionths of the currency unit
 * @param ratingMillis usual time to a rating in milliseconds
 * @param caution how many standard deviations an estimate is taken below its mean
 * @param deadlineFactor factor on expected times that must still fit before the deadline
 * @param usualMillis time to a whole answer in milliseconds where none was seen yet
 * @param exploreShare share of requests that may spend more to learn of a cheaper version
 * @param exploreDeviation standard deviation from which a version is worth learning of
 */
public record PlannerSettings(
    double ratingMicros,
    double ratingMillis,
    double caution,
    double deadlineFactor,
    double usualMillis,
    double exploreShare,
    double exploreDeviation) {

  /** One half deviation of caution; one request in fifty explores. */
  public static final PlannerSettings DEFAULT =
      new PlannerSettings(0, 300, 0.5, 1.5, 3_000, 0.02, 0.05);
}
