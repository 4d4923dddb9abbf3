package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.Optional;

/** Chooses the model versions that may run a draft. */
public interface Planner {

  /**
   * Returns a plan whose versions are allowed, not withdrawn and served by at least one upstream.
   *
   * @param query the inputs of the plan
   * @param now the current time
   * @return the plan, or empty if no allowed version accepts new requests
   */
  Optional<Plan> plan(PlanQuery query, Instant now);
}
