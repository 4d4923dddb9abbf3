package org.skylarkfork.runtime.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;

/** Connects to upstreams. */
interface UpstreamConnector {

  /**
   * Starts to connect.
   *
   * @param bootstrap options and handlers of the connection
   * @param address address of the upstream
   * @return completes when the connection is open or has failed
   */
  Future<Void> connect(Bootstrap bootstrap, InetSocketAddress address);
}
