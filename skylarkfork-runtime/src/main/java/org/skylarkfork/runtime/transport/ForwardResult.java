package org.skylarkfork.runtime.transport;

/**
 * Result of a peer's request to open a connection; the ordinal is the byte on the wire.
 *
 * @see PeerTransport#openForwarded
 */
public enum ForwardResult {
  /** The connection is open. */
  OPENED,
  /** The target accepted no connection. */
  UNREACHABLE,
  /** The peer can't be reached or opens no connections at present. */
  UNUSABLE,
  /** The peer opens no connection to this target. */
  REJECTED
}
