package org.skylarkfork.core.reachability;

/** How an entry connects to the upstreams of a service. */
public enum PathState {
  /** Over its own links. */
  DIRECT,
  /** Through other entries, since it has recently reached no upstream; not confirmed yet. */
  SUSPECTED,
  /** Through other entries, which reach upstreams that it doesn't reach. */
  FORWARDED
}
