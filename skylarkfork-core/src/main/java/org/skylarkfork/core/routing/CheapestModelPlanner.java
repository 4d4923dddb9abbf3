package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Always runs the model with the least price, whatever its quality. */
public final class CheapestModelPlanner implements Planner {

  private final Candidates candidates;

  /**
   * Makes a planner.
   *
   * @param candidates lists the versions
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
