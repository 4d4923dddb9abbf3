package org.skylarkfork.core.effect;

import org.skylarkfork.core.message.PeerMessage;

/** Messages to other daemons, and changes of their addresses, carried out by the peer transport. */
public sealed interface PeerEffect extends Effect {

  /**
   * Sends a message at most once. If the peer can't be reached, the message is dropped without an
   * event.
   *
   * @param node node name of the receiving daemon
   * @param message message to send
   */
  record SendToPeer(String node, PeerMessage message) implements PeerEffect {}

  /**
   * Sets the address at which a daemon listens; replaces its previous address.
   *
   * @param node node name of the daemon
   * @param host IP address
   * @param port port of the daemon's listener for peer connections
   */
  record LearnPeer(String node, String host, int port) implements PeerEffect {}

  /**
   * Closes the connection to a daemon that has left and removes its address.
   *
   * @param node node name of the daemon
   */
  record ForgetPeer(String node) implements PeerEffect {}
}
