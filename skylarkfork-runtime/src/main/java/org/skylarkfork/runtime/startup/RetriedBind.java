package org.skylarkfork.runtime.startup;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;

/**
 * Binds a server's listener, and tries again later while its address is in use. No thread waits
 * meanwhile.
 */
final class RetriedBind {

  private final ServerBootstrap server;
  private final InetSocketAddress address;
  private final BindRetry retry;
  private final EventLoop timer;
  private final Promise<Channel> bound;

  /**
   * Creates an instance that hasn't tried yet.
   *
   * @param server the server without a channel
   * @param address address to listen on
   * @param retry decides how long the address is tried
   * @param timer event loop that waits between two attempts
   */
  RetriedBind(ServerBootstrap server, InetSocketAddress address, BindRetry retry, EventLoop timer) {
    this.server = server;
    this.address = address;
    this.retry = retry;
    this.timer = timer;
    this.bound = timer.newPromise();
  }

  /**
   * Starts the first attempt. The future fails with the cause of the last one, or with a {@link
   * ClosedChannelException} if the event loop ends before.
   */
  Future<Channel> start() {
    timer.terminationFuture().addListener(ended -> bound.tryFailure(new ClosedChannelException()));
    tryBind();
    return bound;
  }

  private void tryBind() {
    server.bind(address).addListener((ChannelFutureListener) this::onAttempt);
  }

  private void onAttempt(ChannelFuture attempt) {
    long now = System.nanoTime();
    if (attempt.isSuccess()) {
      retry.onBound(address, now);
      bound.trySuccess(attempt.channel());
    } else if (isWorthRetrying(attempt.cause())
        && retry.shouldRetry(address, attempt.cause(), now)) {
      timer.schedule(this::tryBind, retry.delayMillis(now), TimeUnit.MILLISECONDS);
    } else {
      bound.tryFailure(attempt.cause());
    }
  }

  private boolean isWorthRetrying(Throwable cause) {
    return cause instanceof IOException && !timer.isShuttingDown();
  }
}
