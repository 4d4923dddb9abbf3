package org.skylarkfork.runtime.relay;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.runtime.transport.PeerTransport;

/**
 * Sends messages to peers whose names are their addresses, and registers each address on first use.
 */
final class AddressedPeers {

  private final PeerTransport transport;
  private final Set<String> known = new HashSet<>();

  AddressedPeers(PeerTransport transport) {
    this.transport = transport;
  }

  /** Returns the address of a peer by its name. */
  static InetSocketAddress addressOf(String node) {
    int colon = node.lastIndexOf(':');
    int port = Integer.parseInt(node.substring(colon + 1));
    return new InetSocketAddress(node.substring(0, colon), port);
  }

  void execute(PeerEffect effect) {
    if (effect instanceof PeerEffect.SendToPeer send && known.add(send.node())) {
      InetSocketAddress address = addressOf(send.node());
      transport.execute(
          new PeerEffect.LearnPeer(send.node(), address.getHostString(), address.getPort()));
    }
    transport.execute(effect);
  }
}
