package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** Runs the first model of the list that can take the request, and no other. */
public final class DirectPlanner implements Planner {

  private final Candidates candidates;

  /**
   * Makes a planner.
   *
   * @param candidates lists the versions
   */
  public DirectPlanner(Candidates candidates) {
    this.candidates = candidates;
  }

  @Override
  public Optional<Plan> plan(PlanQuery query, Instant now) {
    List<Candidates.Candidate> listed = candidates.of(query, now);
    // A session that began on a later model, while the first had no engine, stays there.
    return listed.stream()
        .filter(candidate -> candidate.choice().pinned())
        .findFirst()
        .or(() -> listed.stream().findFirst())
        .map(
            first ->
                FixedOrderPlanner.cascade(
                    List.of(first),
                    Candidates.qualityTarget(query),
                    "first model of the rule that can take it"));
  }
}
