package org.skylarkfork.runtime.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** The connections to one run of an upstream; used by one thread only. */
final class UpstreamPool {

  /** Idle time after which a connection isn't used if the upstream names none, in nanoseconds. */
  private static final long DEFAULT_IDLE_NANOS = 2_000_000_000L;

  private static final int MAX_PENDING = 256;

  /** Share of the rest that was too long up to which connections are still used. */
  private static final double SAFE_IDLE_FRACTION = 0.7;

  /** Time for which a rest that was too long is remembered. */
  private static final long STALE_RETENTION_NANOS = 20_000_000_000L;

  private final Bootstrap bootstrap;
  private final @Nullable InetSocketAddress address;
  private final RelayDialect dialect;
  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
  private final Deque<PendingAcquisition> pending = new ArrayDeque<>();
  private int openConnections;
  private long lastUsedAt;
  private long maxIdleNanos = Long.MAX_VALUE;
  private long staleAt;

  /**
   * Makes a pool without connections.
   *
   * @param bootstrap opens connections
   * @param address where the upstream listens, or null if its address can't be read
   * @param dialect names of headers
   */
  UpstreamPool(Bootstrap bootstrap, @Nullable InetSocketAddress address, RelayDialect dialect) {
    this.bootstrap = bootstrap;
    this.address = address;
    this.dialect = dialect;
  }

  /** Takes a connection, or null if none could be made. */
  interface ConnectionReceiver {
    void receive(@Nullable UpstreamConnection connection);
  }

  private record PendingAcquisition(int maxConnections, ConnectionReceiver receiver) {}

  /**
   * Gives a connection to a taker, now or later.
   *
   * @param fresh whether it must be new
   * @param maxConnections connections that may be open
   * @param receiver gets it
   */
  void acquire(boolean fresh, int most, ConnectionReceiver taker) {
    long now = System.nanoTime();
    lastUsedAt = now;
    UpstreamConnection kept = fresh ? null : takeNewestUsable(now);
    if (kept != null) {
      taker.receive(kept);
    } else if (openConnections < most || closeOldestIdle()) {
      connect(taker);
    } else if (pending.size() < MAX_PENDING) {
      pending.addLast(new PendingAcquisition(most, taker));
    } else {
      taker.receive(null);
    }
  }

  /**
   * Tells whether the upstream takes a connection; one that was made is kept for the next request.
   */
  void probe(Consumer<Boolean> result) {
    connect(
        made -> {
          if (made != null) {
            release(made);
          }
          result.accept(made != null);
        });
  }

  private @Nullable UpstreamConnection takeNewestUsable(long now) {
    while (!idle.isEmpty()) {
      UpstreamConnection kept = idle.removeLast();
      if (kept.isUsable(now)) {
        return kept;
      }
      kept.close();
    }
    return null;
  }

  private boolean closeOldestIdle() {
    UpstreamConnection oldest = idle.pollFirst();
    if (oldest != null) {
      oldest.close();
    }
    return oldest != null;
  }

  private void connect(ConnectionReceiver taker) {
    if (address == null) {
      // Thrown here, the fault of one upstream would halt each entry that sends to it.
      taker.receive(null);
      return;
    }
    openConnections++;
    UpstreamConnection connection = new UpstreamConnection(this, dialect, DEFAULT_IDLE_NANOS);
    ChannelFuture connecting =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpRequestEncoder(),
                            new HttpResponseDecoder(HttpDecoderLimits.decoderConfig()),
                            connection);
                  }
                })
            .connect(address);
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            taker.receive(connection);
          } else {
            openConnections--;
            taker.receive(null);
            serveNextPending();
          }
        });
  }

  /**
   * Takes note that the upstream had given up a connection that rested here.
   *
   * <p>An upstream may forget connections sooner than it says. Each request on one is lost after it
   * was sent, and counts as a repeat when it is sent again, so the others are used no longer.
   */
  void recordStale(long restNanos) {
    maxIdleNanos = Math.min(maxIdleNanos, (long) (restNanos * SAFE_IDLE_FRACTION));
    staleAt = System.nanoTime();
  }

  /** Returns for how long a connection may rest until it isn't used any more, in nanoseconds. */
  long maxIdleNanos(long now) {
    if (now - staleAt > STALE_RETENTION_NANOS) {
      maxIdleNanos = Long.MAX_VALUE;
    }
    return maxIdleNanos;
  }

  void release(UpstreamConnection connection) {
    connection.markIdle(System.nanoTime());
    idle.addLast(connection);
    serveNextPending();
  }

  void onClosed(UpstreamConnection connection) {
    openConnections--;
    idle.remove(connection);
    serveNextPending();
  }

  private void serveNextPending() {
    PendingAcquisition next = pending.pollFirst();
    if (next != null) {
      acquire(false, next.maxConnections(), next.receiver());
    }
  }

  /** Returns whether nothing uses this pool and nothing did lately. */
  boolean isUnused(long now, long nanos) {
    return pending.isEmpty() && openConnections == idle.size() && now - lastUsedAt > nanos;
  }

  void close() {
    while (!idle.isEmpty()) {
      idle.removeLast().close();
    }
  }
}
