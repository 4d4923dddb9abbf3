package org.skylarkfork.runtime.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.answer.ConnectionUse;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.reachability.ConnectOutcome;
import org.skylarkfork.core.relay.UpstreamInstance;

/** Pools of connections to all upstreams; confined to one thread. */
final class UpstreamPools {

  private static final Duration UNUSED_RETENTION = Duration.ofSeconds(20);

  private final Bootstrap bootstrap;
  private final UpstreamConnector ownLinks;
  private final ForwardingConnector forwarding;
  private final RelayDialect dialect;
  private final Consumer<RelayEvent> events;
  private final Map<PoolKey, UpstreamPool> pools = new HashMap<>();

  /**
   * Creates pools without connections.
   *
   * @param loop event loop of the connections
   * @param dialect mapping of the headers
   * @param ownLinks opens connections over the VM's own links
   * @param forwarding opens connections through other entries
   * @param connectTimeout timeout of opening a connection
   * @param events receives an event for each opening of a connection
   */
  UpstreamPools(
      EventLoop loop,
      RelayDialect dialect,
      UpstreamConnector ownLinks,
      ForwardingConnector forwarding,
      Duration connectTimeout,
      Consumer<RelayEvent> events) {
    this.ownLinks = ownLinks;
    this.forwarding = forwarding;
    this.events = events;
    this.dialect = dialect;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis());
  }

  /** Turns what a pool's connections show into events. */
  private record EventObserver(
      Consumer<RelayEvent> events, UpstreamInstance upstream, @Nullable String forwarder)
      implements UpstreamPool.Observer {

    @Override
    public void connected(ConnectOutcome outcome) {
      events.accept(new RelayEvent.UpstreamConnected(upstream, forwarder, outcome));
    }

    @Override
    public void extraAnswer(boolean idle, boolean carried, ConnectionUse use) {
      events.accept(new RelayEvent.ExtraAnswer(upstream, idle, carried, use));
    }
  }

  /** A later run of an upstream may have its id and another address. */
  private record PoolKey(String upstream, String address, @Nullable String forwarder) {}

  /**
   * Returns the pool of connections to an upstream.
   *
   * @param upstream the upstream
   * @param forwarder peer name of the entry that opens the connections, or null for the own links
   */
  UpstreamPool pool(UpstreamInstance upstream, @Nullable String forwarder) {
    return pools.computeIfAbsent(
        new PoolKey(upstream.id(), upstream.address(), forwarder),
        key -> createPool(upstream, forwarder));
  }

  /**
   * A connection through another entry carries one request only, so that the other entry checks
   * before each one whether the upstream may receive it.
   */
  private UpstreamPool createPool(UpstreamInstance upstream, @Nullable String forwarder) {
    UpstreamConnector connector = forwarder == null ? ownLinks : forwarding.through(forwarder);
    return new UpstreamPool(
        bootstrap,
        connector,
        UpstreamAddress.parse(upstream.address()),
        dialect,
        forwarder == null,
        new EventObserver(events, upstream, forwarder));
  }

  /** Recalls the attempts that wait for a connection to an upstream. */
  void recallUnsent(UpstreamInstance upstream) {
    pools.forEach(
        (key, pool) -> {
          if (key.upstream().equals(upstream.id())) {
            pool.recallUnsent();
          }
        });
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
