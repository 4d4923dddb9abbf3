package org.skylarkfork.runtime.relay;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.runtime.transport.PeerTransport;

/**
 * Sends messages to peers whose names are their addresses, and registers each address on first use.
 */
final class AddressedPeers {

  private static final int MAX_PORT = 65_535;

  private final PeerTransport transport;
  private final Set<String> known = new HashSet<>();

  AddressedPeers(PeerTransport transport) {
    this.transport = transport;
  }

  /** Returns the address of a peer by its name, or null if the name isn't a host and a port. */
  static @Nullable InetSocketAddress addressOf(String node) {
    int colon = node.lastIndexOf(':');
    int port = portOf(node.substring(colon + 1));
    return colon <= 0 || port <= 0 || port > MAX_PORT
        ? null
        : new InetSocketAddress(node.substring(0, colon), port);
  }

  private static int portOf(String text) {
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException invalid) {
      return 0;
    }
  }

  /**
   * Executes an effect.
   *
   * @throws IllegalArgumentException if the name of a peer isn't an address; nothing is sent
   */
  void execute(PeerEffect effect) {
    if (effect instanceof PeerEffect.SendToPeer send && !known.contains(send.node())) {
      InetSocketAddress address = addressOf(send.node());
      if (address == null) {
        throw new IllegalArgumentException("the peer's name is no address: " + send.node());
      }
      known.add(send.node());
      transport.execute(
          new PeerEffect.LearnPeer(send.node(), address.getHostString(), address.getPort()));
    }
    transport.execute(effect);
  }
}
