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
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.limits.MemoryBudget;

/** The {@link HttpEndpoint}s of a daemon, which share limits on the memory of their calls. */
final class RelayEndpoints {

  private static final long SWEEP_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final EventLoop eventLoop;
  private final CallLimits limits = CallLimits.of(MemoryBudget.ofProcess());

  /** Endpoints are added by the thread that starts the daemon and by the event loop. */
  private final List<HttpEndpoint> endpoints = new CopyOnWriteArrayList<>();

  private long lastSweepAt = System.nanoTime();

  /**
   * Creates a set without endpoints.
   *
   * @param eventLoop event loop that serves the connections
   */
  RelayEndpoints(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /**
   * Opens a listener.
   *
   * @param address address to listen on
   * @param open listener that is open at this address, or null to open one
   * @param maxWait longest time to try an address that is in use
   * @param maxBodyBytes maximum size of a body, in bytes
   * @param maxConnections maximum number of open connections
   * @param handler answers a call; its future never fails
   * @return completes with the bound listener
   */
  Future<Channel> open(
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
