package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** Plans only the first model of the route that can run the request. */
public final class DirectPlanner implements Planner {

  private final Candidates candidates;

  /**
   * Creates a planner.
   *
   * @param candidates lists the candidate versions
   */
  public DirectPlanner(Candidates candidates) {
    this.candidates = candidates;
  }

  @Override
  public Optional<Plan> plan(PlanQuery query, Instant now) {
    List<Candidates.Candidate> listed = candidates.of(query, now);
    // A session may be pinned to a later model of the list because the first had no engine when
    // the session began. It stays on that model.
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
