package org.skylarkfork.runtime.relay;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.limits.MemoryBudget;
import org.skylarkfork.runtime.startup.BindRetry;
import org.tinylog.Logger;

/** The {@link HttpEndpoint}s of a daemon, which share limits on the memory of their calls. */
final class RelayEndpoints {

  private static final long SWEEP_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final EventLoop eventLoop;
  private final CallLimits limits = CallLimits.of(MemoryBudget.ofProcess());

  /** Endpoints are added by the thread that starts the daemon and by the event loop. */
  private final List<HttpEndpoint> endpoints = new CopyOnWriteArrayList<>();

  private volatile boolean stopping;
  private long lastSweepAt = System.nanoTime();

  /**
   * Creates a set without endpoints.
   *
   * @param eventLoop event loop that serves the connections
   */
  RelayEndpoints(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** Failures of listeners from now on are a consequence of the daemon's stop. */
  void stop() {
    stopping = true;
  }

  /**
   * Opens a listener for calls to a control VM. Returns before it is bound.
   *
   * @param address address to listen on
   * @param maxConnections maximum number of open connections
   * @param handler answers a call; its future never fails
   * @param onBound receives the bound address
   * @param onFailure receives the failure if the address can't be had, but not during a stop
   */
  void openForControl(
      InetSocketAddress address,
      int maxConnections,
      Function<HttpCall, CompletableFuture<HttpReply>> handler,
      Consumer<InetSocketAddress> onBound,
      Consumer<Throwable> onFailure) {
    open(
            address,
            null,
            BindRetry.MAX_WAIT,
            HttpEndpoint.MAX_DOCUMENT_BYTES,
            maxConnections,
            handler)
        .addListener(
            (Future<Channel> done) -> {
              if (done.isSuccess()) {
                onBound.accept((InetSocketAddress) done.getNow().localAddress());
              } else if (!stopping) {
                Logger.error(done.cause(), "node: cannot listen for control calls at {}", address);
                onFailure.accept(done.cause());
              }
            });
  }

  /**
   * Opens a listener of checks, and returns before it is bound. The daemon serves without it:
   * ending the daemon would fail the requests that it serves, and hide the cause from its metrics'
   * readers.
   *
   * @param address address to listen on; does nothing if null
   * @param maxConnections maximum number of open connections
   * @param handler answers a call
   * @param onBound receives the bound address
   */
  void openForChecks(
      @Nullable InetSocketAddress address,
      int maxConnections,
      Function<HttpCall, HttpReply> handler,
      Consumer<InetSocketAddress> onBound) {
    if (address == null) {
      return;
    }
    open(
            address,
            null,
            BindRetry.UNLIMITED,
            HttpEndpoint.MAX_QUERY_BYTES,
            maxConnections,
            call -> CompletableFuture.completedFuture(handler.apply(call)))
        .addListener(
            (Future<Channel> done) -> {
              if (done.isSuccess()) {
                onBound.accept((InetSocketAddress) done.getNow().localAddress());
              } else if (!stopping) {
                Logger.error(done.cause(), "node: cannot listen for checks at {}", address);
              }
            });
  }

  /**
   * Opens a listener for look-ups and waits until it is bound.
   *
   * @param address address to listen on
   * @param open listener that is open at this address, or null to open one
   * @param maxConnections maximum number of open connections
   * @param handler answers a call
   */
  void openForLookUps(
      InetSocketAddress address,
      @Nullable ServerSocketChannel open,
      int maxConnections,
      Function<HttpCall, HttpReply> handler) {
    open(
            address,
            open,
            BindRetry.MAX_WAIT,
            HttpEndpoint.MAX_QUERY_BYTES,
            maxConnections,
            call -> CompletableFuture.completedFuture(handler.apply(call)))
        .syncUninterruptibly();
  }

  private Future<Channel> open(
      InetSocketAddress address,
      @Nullable ServerSocketChannel open,
      Duration maxWait,
      int maxBodyBytes,
      int maxConnections,
      Function<HttpCall, CompletableFuture<HttpReply>> handler) {
    HttpEndpoint endpoint = new HttpEndpoint(eventLoop, limits, maxBodyBytes, maxConnections);
    endpoints.add(endpoint);
    return endpoint.open(address, open, maxWait, handler);
  }

  /**
   * Closes the connections that wait too long for their clients, once a second.
   *
   * @param now current time of the process's monotonic clock, in nanoseconds
   */
  void tick(long now) {
    if (now - lastSweepAt >= SWEEP_INTERVAL_NANOS) {
      lastSweepAt = now;
      endpoints.forEach(endpoint -> endpoint.closeOverdue(now));
    }
  }
}
