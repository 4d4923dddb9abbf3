package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.Optional;

/** Delegates to the planner for the plan kind of the route. */
public final class RoutePlanner implements Planner {

  private final Planner cheapest;
  private final Planner direct;
  private final Planner cascade;

  /**
   * Creates a planner.
   *
   * @param cheapest plans routes of kind {@code CHEAPEST}
   * @param direct plans routes of kind {@code DIRECT}
   * @param cascade plans routes of kind {@code CASCADE}
   */
  public RoutePlanner(Planner cheapest, Planner direct, Planner cascade) {
    this.cheapest = cheapest;
    this.direct = direct;
    this.cascade = cascade;
  }

  @Override
  public Optional<Plan> plan(PlanQuery query, Instant now) {
    return switch (query.route().plan()) {
      case CHEAPEST -> cheapest.plan(query, now);
      case DIRECT -> direct.plan(query, now);
      case CASCADE -> cascade.plan(query, now);
    };
  }
}
