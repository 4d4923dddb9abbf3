package org.skylarkfork.runtime.relay;

import java.util.HashSet;
import java.util.Set;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.runtime.transport.PeerTransport;

/** Sends to peers whose names are their addresses. */
final class AddressedPeers {

  private final PeerTransport transport;
  private final Set<String> known = new HashSet<>();

  AddressedPeers(PeerTransport transport) {
    this.transport = transport;
  }

  void execute(PeerEffect effect) {
    if (effect instanceof PeerEffect.SendToPeer send && known.add(send.node())) {
      int colon = send.node().lastIndexOf(':');
      String host = send.node().substring(0, colon);
      int port = Integer.parseInt(send.node().substring(colon + 1));
      transport.execute(new PeerEffect.LearnPeer(send.node(), host, port));
    }
    transport.execute(effect);
  }
}
