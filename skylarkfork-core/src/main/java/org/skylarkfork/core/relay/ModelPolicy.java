package org.skylarkfork.core.relay;

import java.time.Instant;

/** Decides which of a route's models answers a request and whether its answer is good enough. */
interface ModelPolicy {

  /**
   * Returns the index of the model to try first, among the route's models.
   *
   * @param route the route, with at least one model
   * @param request the request
   */
  int firstModel(RelayRoute route, RelayRequest request);

  /**
   * Returns the index of the model to which a request may escalate, or -1 if there is none.
   *
   * @param route the route
   * @param model index of the model that has answered
   */
  int largerModel(RelayRoute route, int model);

  /**
   * Returns whether the request would escalate if the larger model could answer at once.
   *
   * @param relay the request, with the confidence of the answer that has begun
   */
  boolean wouldEscalate(ActiveRelay relay);

  /**
   * Returns whether the request escalates to the larger model.
   *
   * @param relay the request, with the confidence of the answer that has begun
   * @param placement upstream of the larger model and the expected times there
   * @param now the present time
   */
  boolean shouldEscalate(ActiveRelay relay, Placement placement, Instant now);
}
