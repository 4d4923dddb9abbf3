package org.skylarkfork.core.routing;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;

/**
 * The models that a draft is tried on, in order.
 *
 * @param steps at least one step; a later one runs only if the rating of the one before is short
 * @param qualityTarget least rating, 0 to 1, at which a rated step's answer is accepted
 * @param expectedCostMicros expected cost of the whole plan in millionths of the currency unit
 * @param reason one sentence that says why this plan was chosen
 * @param notice what the caller should know, such as that its session had to move, or null
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

  /** Makes a plan without a notice. */
  public Plan(List<Step> steps, double qualityTarget, double expectedCostMicros, String reason) {
    this(steps, qualityTarget, expectedCostMicros, reason, null);
  }

  /**
   * One step.
   *
   * @param version model and version to run
   * @param rated whether the answer is held until its rating is known; false on the last step
   */
  public record Step(ModelVersion version, boolean rated) {}
}
