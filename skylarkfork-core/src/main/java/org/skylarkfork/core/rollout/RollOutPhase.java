package org.skylarkfork.core.rollout;

/** Phase of the roll-out of a service's version. */
public enum RollOutPhase {
  /** A small share of new requests goes to the new version. */
  CANARY,
  /** All new requests go to the new version, while requests on the old version finish. */
  MOVING,
  /** The old version is no longer needed. */
  SUCCEEDED,
  /** The new version was bad and receives no requests. */
  ROLLED_BACK
}
