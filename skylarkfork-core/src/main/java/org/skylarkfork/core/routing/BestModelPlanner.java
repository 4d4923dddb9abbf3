package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.skylarkfork.core.quality.VersionQuality;

/** Always runs the model whose answers are expected to be best, whatever its price. */
public final class BestModelPlanner implements Planner {

  private final Candidates candidates;
  private final VersionQuality quality;

  /**
   * Makes a planner.
   *
   * @param candidates lists the versions
   * @param quality says how good each version is
   */
  public BestModelPlanner(Candidates candidates, VersionQuality quality) {
    this.candidates = candidates;
    this.quality = quality;
  }

  @Override
  public Optional<Plan> plan(PlanQuery query, Instant now) {
    double target = Candidates.qualityTarget(query);
    return candidates.of(query, now).stream()
        .max(Comparator.comparingDouble(candidate -> successProbability(candidate, query, target)))
        .map(
            best ->
                FixedOrderPlanner.cascade(
                    List.of(best), target, "model with the best expected answers"));
  }

  private double successProbability(
      Candidates.Candidate candidate, PlanQuery query, double target) {
    return quality
        .estimate(
            candidate.choice().version(),
            query.team().name(),
            query.request().promptTokens(),
            target)
        .mean();
  }
}
