package org.skylarkfork.runtime.startup;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Puts a server on the event loop, with an open listener if there is one. */
public final class ListenerHandover {

  private ListenerHandover() {}

  /**
   * Starts to accept connections; those that wait in an open listener's queue come first.
   *
   * @param server the server without a channel
   * @param address address to listen on if there is no open listener
   * @param open open listener, which the server takes over and closes if it fails, or null
   * @param maxWait longest time to try an address that is in use
   * @return completes with the server's channel, or fails with the cause of the last attempt
   */
  public static Future<Channel> listen(
      ServerBootstrap server,
      InetSocketAddress address,
      @Nullable ServerSocketChannel open,
      Duration maxWait) {
    EventLoop loop = server.config().group().next();
    if (open == null) {
      server.channel(NioServerSocketChannel.class);
      BindRetry retry = new BindRetry(maxWait, System.nanoTime());
      return new RetriedBind(server, address, retry, loop).start();
    }
    Promise<Channel> accepting = loop.newPromise();
    server
        .channelFactory(() -> new NioServerSocketChannel(open))
        .option(ChannelOption.AUTO_READ, false)
        .register()
        .addListener((ChannelFutureListener) registered -> startAccepting(registered, accepting));
    return accepting;
  }

  /**
   * Accepts connections once the server's handler is installed. The event loop installs it in a
   * task of its own that is queued before this one; a connection that is accepted earlier is
   * dropped without an answer.
   */
  private static void startAccepting(ChannelFuture registered, Promise<Channel> accepting) {
    if (registered.isSuccess()) {
      Channel channel = registered.channel();
      channel.eventLoop().execute(() -> channel.config().setAutoRead(true));
      accepting.setSuccess(channel);
    } else {
      accepting.setFailure(registered.cause());
    }
  }
}
