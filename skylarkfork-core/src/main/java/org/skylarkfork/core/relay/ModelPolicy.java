package org.skylarkfork.core.relay;

import java.time.Instant;

/** Decides which of a route's models answers, and whether an answer is good enough. */
interface ModelPolicy {

  /**
   * Returns the place of the model to try first, among the route's models.
   *
   * @param route the route, with at least one model
   * @param request the request
   */
  int firstModel(RelayRoute route, RelayRequest request);

  /**
   * Returns the place of the model that may be asked in place of an answer, or -1 if there is none.
   *
   * @param route the route
   * @param model place of the model that answered
   */
  int largerModel(RelayRoute route, int model);

  /**
   * Returns whether that model would be asked if it could answer at once.
   *
   * @param relay the request, with the confidence of the answer that has begun
   */
  boolean wouldEscalate(ActiveRelay relay);

  /**
   * Returns whether that model is asked.
   *
   * @param relay the request, with the confidence of the answer that has begun
   * @param placement where the larger model would be asked, and what is expected there
   * @param now the present time
   */
  boolean shouldEscalate(ActiveRelay relay, Placement placement, Instant now);
}
