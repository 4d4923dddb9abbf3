package org.skylarkfork.runtime.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.net.InetSocketAddress;
import org.skylarkfork.runtime.transport.ForwardException;
import org.skylarkfork.runtime.transport.ForwardResult;
import org.skylarkfork.runtime.transport.PeerTransport;

/** Connects to upstreams through other entries. */
final class ForwardingConnector {

  private final PeerTransport transport;

  ForwardingConnector(PeerTransport transport) {
    this.transport = transport;
  }

  /**
   * Returns a connector through the entry with a peer name, which is its address; a name that is
   * none opens no connection.
   */
  UpstreamConnector through(String forwarder) {
    return (bootstrap, address) -> connect(bootstrap, forwarder, address);
  }

  private Future<Void> connect(Bootstrap bootstrap, String forwarder, InetSocketAddress address) {
    InetSocketAddress peer = AddressedPeers.addressOf(forwarder);
    if (peer == null) {
      return ImmediateEventExecutor.INSTANCE.newFailedFuture(
          new ForwardException(ForwardResult.UNUSABLE));
    }
    return transport.openForwarded(
        bootstrap, peer, address.getAddress().getHostAddress() + ":" + address.getPort());
  }
}
