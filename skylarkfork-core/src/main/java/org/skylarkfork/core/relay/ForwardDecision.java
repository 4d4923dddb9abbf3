package org.skylarkfork.core.relay;

/** Whether an entry opens a connection to an upstream for another entry. */
public enum ForwardDecision {
  /** It opens the connection. */
  ALLOWED,
  /** It doesn't serve, or doesn't reach the upstream's service itself. */
  UNUSABLE,
  /** The upstream is unknown, or may receive nothing from this entry for now. */
  REJECTED
}
