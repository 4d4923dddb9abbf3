package org.skylarkfork.core.reachability;

/** Outcome of opening a connection to an upstream. */
public enum ConnectOutcome {
  /** The connection is open. */
  OPENED,
  /** The upstream accepted no connection; for a forwarded connection, none of the forwarder. */
  UPSTREAM_UNREACHABLE,
  /** The forwarder can't be reached, or doesn't reach the upstream's service itself. */
  FORWARDER_UNUSABLE,
  /** The forwarder opens no connection to this upstream, which may send it nothing for now. */
  REJECTED
}
