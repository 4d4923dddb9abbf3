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

/** The connections to all upstreams; used by one thread only. */
final class UpstreamPools {

  private static final Duration UNUSED_RETENTION = Duration.ofSeconds(20);

  private final Bootstrap bootstrap;
  private final RelayDialect dialect;
  private final Map<String, UpstreamPool> pools = new HashMap<>();

  UpstreamPools(EventLoop loop, RelayDialect dialect, Duration connectTimeout) {
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
        id -> new UpstreamPool(bootstrap, UpstreamAddress.parse(upstream.address()), dialect));
  }

  /** Forgets upstreams that got nothing for a while. */
  void removeUnused() {
    long now = System.nanoTime();
    Iterator<UpstreamPool> all = pools.values().iterator();
    while (all.hasNext()) {
      UpstreamPool pool = all.next();
      if (pool.isUnused(now, UNUSED_RETENTION.toNanos())) {
        pool.close();
        all.remove();
      }
    }
  }
}
