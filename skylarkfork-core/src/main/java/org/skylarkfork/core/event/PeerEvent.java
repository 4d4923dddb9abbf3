package org.skylarkfork.core.event;

import org.skylarkfork.core.message.PeerMessage;

/** Events of the connections to other daemons, submitted by the peer transport. */
public sealed interface PeerEvent extends Event {

  /**
   * A message was received on a connection whose handshake is complete.
   *
   * @param node node name that the sender gave in its handshake
   * @param message the received message
   */
  record MessageReceived(String node, PeerMessage message) implements PeerEvent {}

  /**
   * A connection to or from a daemon was lost.
   *
   * @param node node name of the daemon
   */
  record ConnectionLost(String node) implements PeerEvent {}
}
