package org.skylarkfork.core.event;

import org.skylarkfork.core.message.PeerMessage;

/** What comes from other daemons. */
public sealed interface PeerEvent extends Event {

  /**
   * A message arrived on a connection that was greeted.
   *
   * @param node name that the sender gave in its greeting
   * @param message what it sent
   */
  record MessageReceived(String node, PeerMessage message) implements PeerEvent {}

  /**
   * A connection to or from a daemon was lost.
   *
   * @param node name of the daemon
   */
  record ConnectionLost(String node) implements PeerEvent {}
}
