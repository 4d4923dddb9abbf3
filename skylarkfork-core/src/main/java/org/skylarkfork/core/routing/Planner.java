package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.Optional;

/** Chooses the models that a draft is tried on. */
public interface Planner {

  /**
   * Makes a plan of allowed, not withdrawn versions that have an upstream.
   *
   * @param query what the plan is made from
   * @param now the present time
   * @return the plan, or empty if no allowed version can take new work
   */
  Optional<Plan> plan(PlanQuery query, Instant now);
}
