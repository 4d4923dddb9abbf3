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

/** A pool of connections to one upstream; confined to one thread. */
final class UpstreamPool {

  /** Idle timeout of a connection if the upstream doesn't state one, in nanoseconds. */
  private static final long DEFAULT_IDLE_NANOS = 2_000_000_000L;

  private static final int MAX_PENDING = 256;

  /**
   * Fraction of the idle time of a stale connection up to which other connections are still used.
   */
  private static final double SAFE_IDLE_FRACTION = 0.7;

  /** Time for which the idle time of a stale connection limits the use of others. */
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
   * Creates an empty pool.
   *
   * @param bootstrap opens connections
   * @param address address of the upstream, or null if it is invalid
   * @param dialect mapping of the headers
   */
  UpstreamPool(Bootstrap bootstrap, @Nullable InetSocketAddress address, RelayDialect dialect) {
    this.bootstrap = bootstrap;
    this.address = address;
    this.dialect = dialect;
  }

  /** Receives a connection, or null if none could be opened. */
  interface ConnectionReceiver {
    void receive(@Nullable UpstreamConnection connection);
  }

  private record PendingAcquisition(int maxConnections, ConnectionReceiver receiver) {}

  /**
   * Passes a connection to a receiver, immediately or when one becomes available.
   *
   * @param fresh whether the connection must be new
   * @param maxConnections maximum number of open connections
   * @param receiver receives the connection, or null if none can be opened
   */
  void acquire(boolean fresh, int maxConnections, ConnectionReceiver receiver) {
    long now = System.nanoTime();
    lastUsedAt = now;
    UpstreamConnection reusable = fresh ? null : takeNewestUsable(now);
    if (reusable != null) {
      receiver.receive(reusable);
    } else if (openConnections < maxConnections || closeOldestIdle()) {
      connect(receiver);
    } else if (pending.size() < MAX_PENDING) {
      pending.addLast(new PendingAcquisition(maxConnections, receiver));
    } else {
      receiver.receive(null);
    }
  }

  /** Reports whether the upstream accepts a connection; an opened connection stays in the pool. */
  void probe(Consumer<Boolean> result) {
    connect(
        opened -> {
          if (opened != null) {
            release(opened);
          }
          result.accept(opened != null);
        });
  }

  private @Nullable UpstreamConnection takeNewestUsable(long now) {
    while (!idle.isEmpty()) {
      UpstreamConnection reusable = idle.removeLast();
      if (reusable.isUsable(now)) {
        return reusable;
      }
      reusable.close();
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

  private void connect(ConnectionReceiver receiver) {
    if (address == null) {
      // An exception here would halt every entry that sends to this one faulty upstream.
      receiver.receive(null);
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
            receiver.receive(connection);
          } else {
            openConnections--;
            receiver.receive(null);
            serveNextPending();
          }
        });
  }

  /**
   * Records that the upstream had dropped an idle connection.
   *
   * <p>An upstream may drop connections earlier than it states. Each request on a dropped
   * connection is lost after it was sent and counts as a retry when it is sent again, so other
   * connections with a similar idle time aren't reused.
   *
   * @param idleNanos idle time of the stale connection, in nanoseconds
   */
  void recordStale(long idleNanos) {
    maxIdleNanos = Math.min(maxIdleNanos, (long) (idleNanos * SAFE_IDLE_FRACTION));
    staleAt = System.nanoTime();
  }

  /** Returns the maximum idle time of a connection that may be reused, in nanoseconds. */
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

  /** Returns whether the pool has no connection in use and had no request for the given time. */
  boolean isUnused(long now, long nanos) {
    return pending.isEmpty() && openConnections == idle.size() && now - lastUsedAt > nanos;
  }

  void close() {
    while (!idle.isEmpty()) {
      idle.removeLast().close();
    }
  }
}
