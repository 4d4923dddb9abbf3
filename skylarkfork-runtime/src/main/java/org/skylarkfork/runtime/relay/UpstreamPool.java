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
import org.jspecify.annotations.Nullable;

/** The connections to one run of an upstream; used by one thread only. */
final class UpstreamPool {

  /** Idle time after which a connection isn't used if the upstream names none, in nanoseconds. */
  private static final long DEFAULT_IDLE_NANOS = 2_000_000_000L;

  private static final int MAX_WAITING = 256;

  private final Bootstrap bootstrap;
  private final InetSocketAddress address;
  private final RelayDialect dialect;
  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
  private final Deque<Waiter> waiting = new ArrayDeque<>();
  private int open;
  private long usedAt;

  UpstreamPool(Bootstrap bootstrap, InetSocketAddress address, RelayDialect dialect) {
    this.bootstrap = bootstrap;
    this.address = address;
    this.dialect = dialect;
  }

  /** Takes a connection, or null if none could be made. */
  interface Taker {
    void take(@Nullable UpstreamConnection connection);
  }

  private record Waiter(int most, Taker taker) {}

  /**
   * Gives a connection to a taker, now or later.
   *
   * @param fresh whether it must be new
   * @param most connections that may be open
   * @param taker gets it
   */
  void acquire(boolean fresh, int most, Taker taker) {
    long now = System.nanoTime();
    usedAt = now;
    UpstreamConnection kept = fresh ? null : newestUsable(now);
    if (kept != null) {
      taker.take(kept);
    } else if (open < most || dropOneIdle()) {
      connect(taker);
    } else if (waiting.size() < MAX_WAITING) {
      waiting.addLast(new Waiter(most, taker));
    } else {
      taker.take(null);
    }
  }

  private @Nullable UpstreamConnection newestUsable(long now) {
    while (!idle.isEmpty()) {
      UpstreamConnection kept = idle.removeLast();
      if (kept.usable(now)) {
        return kept;
      }
      kept.close();
    }
    return null;
  }

  private boolean dropOneIdle() {
    UpstreamConnection oldest = idle.pollFirst();
    if (oldest != null) {
      oldest.close();
    }
    return oldest != null;
  }

  private void connect(Taker taker) {
    open++;
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
                            new HttpResponseDecoder(HttpSizes.decoder()),
                            connection);
                  }
                })
            .connect(address);
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            taker.take(connection);
          } else {
            open--;
            taker.take(null);
            serveWaiting();
          }
        });
  }

  void release(UpstreamConnection connection) {
    connection.idle(System.nanoTime());
    idle.addLast(connection);
    serveWaiting();
  }

  void closed(UpstreamConnection connection) {
    open--;
    idle.remove(connection);
    serveWaiting();
  }

  private void serveWaiting() {
    Waiter next = waiting.pollFirst();
    if (next != null) {
      acquire(false, next.most(), next.taker());
    }
  }

  /** Returns whether nothing uses this pool and nothing did lately. */
  boolean unused(long now, long nanos) {
    return waiting.isEmpty() && open == idle.size() && now - usedAt > nanos;
  }

  void close() {
    while (!idle.isEmpty()) {
      idle.removeLast().close();
    }
  }
}
