package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Tries the models in the order of the list, the next if the rating of one falls short. */
public final class FixedOrderPlanner implements Planner {

  private final Candidates candidates;

  /**
   * Makes a planner.
   *
   * @param candidates lists the versions
   */
  public FixedOrderPlanner(Candidates candidates) {
    this.candidates = candidates;
  }

  @Override
  public Optional<Plan> plan(PlanQuery query, Instant now) {
    List<Candidates.Candidate> listed = candidates.of(query, now);
    return listed.isEmpty()
        ? Optional.empty()
        : Optional.of(
            cascade(listed, Candidates.qualityTarget(query), "cascade in the rule's order"));
  }

  /** Makes a plan that runs the candidates in order and costs the first one's cost at least. */
  static Plan cascade(List<Candidates.Candidate> listed, double target, String reason) {
    List<Plan.Step> steps = new ArrayList<>();
    for (int i = 0; i < listed.size(); i++) {
      steps.add(new Plan.Step(listed.get(i).choice().version(), i < listed.size() - 1));
    }
    String notice =
        listed.stream()
            .map(Candidates.Candidate::notice)
            .filter(Objects::nonNull)
            .findFirst()
            .orElse(null);
    return new Plan(steps, target, listed.get(0).costMicros(), reason, notice);
  }
}
