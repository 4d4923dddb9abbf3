package org.skylarkfork.standin.http;

import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.skylarkfork.runtime.startup.HttpServerBinding;
import reactor.netty.DisposableServer;
import reactor.netty.NettyPipeline;
import reactor.netty.http.HttpResources;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRoutes;
import reactor.netty.resources.LoopResources;

/** An HTTP server that can be closed with all its connections. */
public final class BoundServer implements AutoCloseable {

  private static final String SECOND_ANSWERS = "standin.secondAnswers";

  /** A task that isn't due at once runs only after a select. */
  private static final long SELECT_DELAY_MILLIS = 1;

  private final ChannelGroup connections;
  private final DisposableServer server;

  private BoundServer(ChannelGroup connections, DisposableServer server) {
    this.connections = connections;
    this.server = server;
  }

  /**
   * Binds an HTTP server.
   *
   * @param host the IP number to listen on
   * @param port the port, or 0 for a free one
   * @param routes registers the handlers
   * @return the bound server
   */
  public static BoundServer bind(String host, int port, Consumer<HttpServerRoutes> routes) {
    return bind(host, port, routes, HttpResources.get());
  }

  /** Binds an HTTP server whose port and connections run on the given event loops. */
  static BoundServer bind(
      String host, int port, Consumer<HttpServerRoutes> routes, LoopResources loops) {
    // Closes also what joins it later: a connection that was accepted may be registered after the
    // others were cut.
    ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    HttpServer server =
        HttpServer.create()
            .runOn(loops)
            .channelGroup(connections)
            .doOnChannelInit((observer, channel, remote) -> addSecondAnswers(channel.pipeline()))
            .route(routes);
    return new BoundServer(connections, HttpServerBinding.bind(server, host, port));
  }

  private static void addSecondAnswers(ChannelPipeline pipeline) {
    pipeline.addAfter(
        NettyPipeline.HttpCodec, SECOND_ANSWERS, new SecondAnswers(NettyPipeline.HttpCodec));
  }

  /**
   * Gives the bound address in the form that announcements carry.
   *
   * @return the IP number and the port, with a colon between
   */
  public String address() {
    return server.host() + ":" + server.port();
  }

  /** Closes the port and cuts all connections. */
  @Override
  public void close() {
    // Until the port is closed, a caller whose connection was cut can connect again and is
    // answered.
    server.channel().close().awaitUninterruptibly();
    awaitNextSelect();
    connections.close().awaitUninterruptibly();
    server.disposeNow();
  }

  /**
   * Waits until the event loop of the port selects again, which is when Java closes the port. Until
   * then the kernel accepts connections that nobody answers.
   */
  private void awaitNextSelect() {
    EventLoop loop = server.channel().eventLoop();
    if (!loop.isShuttingDown()) {
      loop.schedule(() -> {}, SELECT_DELAY_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
  }
}
