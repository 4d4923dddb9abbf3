package org.skylarkfork.runtime.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;

/** Connects to upstreams over the VM's own network. */
interface UpstreamConnector {

  /**
   * Starts to connect.
   *
   * @param bootstrap options and handlers of the connection
   * @param address address of the upstream
   * @return completes when the connection is open or has failed
   */
  ChannelFuture connect(Bootstrap bootstrap, InetSocketAddress address);
}
