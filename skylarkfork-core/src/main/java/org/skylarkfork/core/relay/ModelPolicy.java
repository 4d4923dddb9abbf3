package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;

/** Decides which of a route's models answers, and whether an answer is good enough. */
interface ModelPolicy {

  /**
   * Returns the place of the model to try first, among the route's models.
   *
   * @param route the route, with at least one model
   * @param request the request
   */
  int first(RelayRoute route, RelayRequest request);

  /**
   * Returns the place of a larger model to ask in place of an answer, or -1 to keep the answer.
   *
   * @param route the route
   * @param model place of the model that answered
   * @param confidence its opinion of its answer from 0 to 100, or null if it gave none
   * @param usedMillis time since the request came, in milliseconds
   * @param pressure how much of the objective engines lately took until the first byte, 0 to 1 and
   *     more
   */
  int larger(
      RelayRoute route, int model, @Nullable Integer confidence, long usedMillis, double pressure);
}
