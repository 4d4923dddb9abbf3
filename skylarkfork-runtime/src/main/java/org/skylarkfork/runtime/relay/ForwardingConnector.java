package org.skylarkfork.runtime.relay;

import java.net.InetSocketAddress;
import org.skylarkfork.runtime.transport.PeerTransport;

/** Connects to upstreams through other entries. */
final class ForwardingConnector {

  private final PeerTransport transport;

  ForwardingConnector(PeerTransport transport) {
    this.transport = transport;
  }

  /** Returns a connector through the entry with a peer name, which is its address. */
  UpstreamConnector through(String forwarder) {
    InetSocketAddress peer = AddressedPeers.addressOf(forwarder);
    return (bootstrap, address) ->
        transport.openForwarded(
            bootstrap, peer, address.getAddress().getHostAddress() + ":" + address.getPort());
  }
}
