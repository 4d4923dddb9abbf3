package org.skylarkfork.core.effect;

import org.skylarkfork.core.message.PeerMessage;

/** Traffic to other daemons. */
public sealed interface PeerEffect extends Effect {

  /**
   * Sends a message, at most once and without an answer if the peer can't be reached.
   *
   * @param node name of the receiving daemon
   * @param message what to send
   */
  record SendToPeer(String node, PeerMessage message) implements PeerEffect {}

  /**
   * Tells the transport where a daemon listens; replaces an older address.
   *
   * @param node name of the daemon
   * @param host IP number
   * @param port port of its frame listener
   */
  record LearnPeer(String node, String host, int port) implements PeerEffect {}

  /**
   * Closes the connection to a daemon that has left and forgets its address.
   *
   * @param node name of the daemon
   */
  record ForgetPeer(String node) implements PeerEffect {}
}
