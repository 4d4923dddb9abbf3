package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Plans the single model with the lowest price, regardless of its quality. */
public final class CheapestModelPlanner implements Planner {

  private final Candidates candidates;

  /**
   * Creates a planner.
   *
   * @param candidates lists the candidate versions
   */
  public CheapestModelPlanner(Candidates candidates) {
    this.candidates = candidates;
  }

  @Override
  public Optional<Plan> plan(PlanQuery query, Instant now) {
    return candidates.of(query, now).stream()
        .min(Comparator.comparingLong(Candidates.Candidate::costMicros))
        .map(
            cheapest ->
                FixedOrderPlanner.cascade(
                    List.of(cheapest),
                    Candidates.qualityTarget(query),
                    "model with the least price"));
  }
}
