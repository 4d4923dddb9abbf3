package org.skylarkfork.core.relay;

/** Expects how long one attempt would take at each upstream. */
interface PlacementEstimator {

  /** Returns what is expected of the attempt at an upstream. */
  Placement estimate(TrackedUpstream track);

  /** Returns what the attempt costs others at that upstream, in milliseconds. */
  default double costToOthersMillis(Placement placement) {
    return 0;
  }
}
