package org.skylarkfork.core.relay;

/** How far the roll-out of a service's version is. */
public enum RollOutPhase {
  /** A small part of new work goes to the new version. */
  CANARY,
  /** All new work goes to the new version; work on the old one ends. */
  MOVING,
  /** The old version is no longer needed. */
  SUCCEEDED,
  /** The new version was bad and gets no work. */
  ROLLED_BACK
}
