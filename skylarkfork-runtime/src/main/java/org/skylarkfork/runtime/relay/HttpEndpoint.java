package org.skylarkfork.runtime.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.limits.ConnectionLimit;
import org.skylarkfork.runtime.startup.ListenerHandover;

/**
 * A small HTTP server for calls with complete bodies, such as operators' calls and health checks.
 * Confined to the event loop's thread once it is open.
 */
final class HttpEndpoint {

  /** Maximum size of a body that carries a configuration, in bytes. */
  static final int MAX_DOCUMENT_BYTES = 8 * 1024 * 1024;

  /** Maximum size of a body where no call needs one, in bytes. */
  static final int MAX_QUERY_BYTES = 16 * 1024;

  /** Maximum size of the header lines of a call, and of its request line, in bytes. */
  private static final int MAX_HEADER_BYTES = 16 * 1024;

  /** Maximum time for a call to arrive, for its answer to be read, and between two calls. */
  private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final EventLoop eventLoop;
  private final CallLimits limits;
  private final int maxBodyBytes;
  private final ConnectionLimit<CallConnection> connections;

  /**
   * Creates a server; {@link #open} opens its listener.
   *
   * @param eventLoop event loop that serves the connections
   * @param limits limits on the memory of all calls of the daemon
   * @param maxBodyBytes maximum size of a body, in bytes
   * @param maxConnections maximum number of open connections
   */
  HttpEndpoint(EventLoop eventLoop, CallLimits limits, int maxBodyBytes, int maxConnections) {
    this.eventLoop = eventLoop;
    this.limits = limits;
    this.maxBodyBytes = maxBodyBytes;
    this.connections = new ConnectionLimit<>(maxConnections);
  }

  /**
   * Opens the listener.
   *
   * @param address address to listen on
   * @param open listener that is open at this address, or null to open one
   * @param maxWait longest time to try an address that is in use
   * @param handler answers a call; its future never fails
   * @return completes with the bound listener
   */
  Future<Channel> open(
      InetSocketAddress address,
      @Nullable ServerSocketChannel open,
      Duration maxWait,
      Function<HttpCall, CompletableFuture<HttpReply>> handler) {
    ServerBootstrap server =
        new ServerBootstrap()
            .group(eventLoop)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    addHandlers(channel, handler);
                  }
                });
    return ListenerHandover.listen(server, address, open, maxWait);
  }

  private void addHandlers(
      Channel channel, Function<HttpCall, CompletableFuture<HttpReply>> handler) {
    CallConnection connection =
        new CallConnection(channel, handler, limits, maxBodyBytes, connections);
    channel
        .pipeline()
        .addLast(
            new HttpResponseEncoder(),
            new CallerRequestDecoder(HttpDecoderLimits.requestConfig(MAX_HEADER_BYTES), connection),
            connection);
  }

  /**
   * Closes the connections that wait too long for their clients.
   *
   * @param now current time of the process's monotonic clock, in nanoseconds
   */
  void closeOverdue(long now) {
    for (CallConnection connection : connections.connections()) {
      connection.closeIfOverdue(MAX_WAIT_NANOS, now);
    }
  }
}
