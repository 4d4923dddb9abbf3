package org.skylarkfork.runtime.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.skylarkfork.core.relay.UpstreamInstance;

/** Pools of connections to all upstreams; confined to one thread. */
final class UpstreamPools {

  private static final Duration UNUSED_RETENTION = Duration.ofSeconds(20);

  private final Bootstrap bootstrap;
  private final UpstreamConnector connector;
  private final RelayDialect dialect;
  private final Map<String, UpstreamPool> pools = new HashMap<>();

  UpstreamPools(
      EventLoop loop, RelayDialect dialect, UpstreamConnector connector, Duration connectTimeout) {
    this.connector = connector;
    this.dialect = dialect;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis());
  }

  UpstreamPool pool(UpstreamInstance upstream) {
    return pools.computeIfAbsent(
        upstream.id(),
        id ->
            new UpstreamPool(
                bootstrap, connector, UpstreamAddress.parse(upstream.address()), dialect));
  }

  /** Recalls the attempts that wait for a connection to an upstream. */
  void recallUnsent(UpstreamInstance upstream) {
    UpstreamPool pool = pools.get(upstream.id());
    if (pool != null) {
      pool.recallUnsent();
    }
  }

  /** Removes the pools of upstreams that had no request for a while. */
  void removeUnused() {
    long now = System.nanoTime();
    Iterator<UpstreamPool> iterator = pools.values().iterator();
    while (iterator.hasNext()) {
      UpstreamPool pool = iterator.next();
      if (pool.isUnused(now, UNUSED_RETENTION.toNanos())) {
        pool.close();
        iterator.remove();
      }
    }
  }
}
