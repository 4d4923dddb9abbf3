package org.skylarkfork.core.routing;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;

/**
 * The sequence of model versions that may run a draft.
 *
 * @param steps at least one step; a step runs only if the rating of the previous one is below the
 *     target
 * @param qualityTarget minimum rating, 0 to 1, at which the answer of a rated step is accepted
 * @param expectedCostMicros expected cost of the whole plan in millionths of the currency unit
 * @param reason short explanation of why this plan was chosen
 * @param notice notice for the caller, for example that its session was moved, or null
 */
public record Plan(
    List<Step> steps,
    double qualityTarget,
    double expectedCostMicros,
    String reason,
    @Nullable String notice) {

  /** Copies the steps. */
  public Plan {
    steps = List.copyOf(steps);
  }

  /** Creates a plan without a notice. */
  public Plan(List<Step> steps, double qualityTarget, double expectedCostMicros, String reason) {
    this(steps, qualityTarget, expectedCostMicros, reason, null);
  }

  /**
   * A step of a plan.
   *
   * @param version model and version to run
   * @param rated whether the answer is held back until its rating is known; false for the last step
   */
  public record Step(ModelVersion version, boolean rated) {}
}
