package org.skylarkfork.core.relay;

/** Estimates how long one attempt would take at each upstream. */
interface PlacementEstimator {

  /** Returns the placement of the attempt at an upstream, with the expected times. */
  Placement estimate(TrackedUpstream upstream);

  /** Returns the cost of the attempt to other requests at the upstream, in milliseconds. */
  default double costToOthersMillis(Placement placement) {
    return 0;
  }
}
