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

  private static final int MAX_WAITING = 256;

  /** Share of the rest that was too long up to which connections are still used. */
  private static final double SAFE_SHARE = 0.7;

  /** Time for which a rest that was too long is remembered. */
  private static final long REMEMBERED_NANOS = 20_000_000_000L;

  private final Bootstrap bootstrap;
  private final @Nullable InetSocketAddress address;
  private final RelayDialect dialect;
  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
  private final Deque<Waiter> waiting = new ArrayDeque<>();
  private int open;
  private long usedAt;
  private long longestRest = Long.MAX_VALUE;
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
    if (address == null) {
      // Thrown here, the fault of one upstream would halt each entry that sends to it.
      taker.take(null);
      return;
    }
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

  /**
   * Takes note that the upstream had given up a connection that rested here.
   *
   * <p>An upstream may forget connections sooner than it says. Each request on one is lost after it
   * was sent, and counts as a repeat when it is sent again, so the others are used no longer.
   */
  void wasStale(long restNanos) {
    longestRest = Math.min(longestRest, (long) (restNanos * SAFE_SHARE));
    staleAt = System.nanoTime();
  }

  /** Returns for how long a connection may rest until it isn't used any more, in nanoseconds. */
  long longestRest(long now) {
    if (now - staleAt > REMEMBERED_NANOS) {
      longestRest = Long.MAX_VALUE;
    }
    return longestRest;
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
