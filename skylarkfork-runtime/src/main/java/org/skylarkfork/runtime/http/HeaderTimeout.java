package org.skylarkfork.runtime.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the time in which a request's headers arrive.
 *
 * <p>A caller that sends a byte now and then would otherwise keep its connection for ever, since
 * the bound on idle connections begins anew with each byte.
 */
final class HeaderTimeout extends ChannelInboundHandlerAdapter {

  private final ConnectionGuard guard;
  private final Duration timeout;
  private @Nullable Future<?> timer;

  /**
   * Makes a bound for one connection; its place is before the decoder.
   *
   * @param guard sees what the decoder makes of the bytes
   * @param timeout longest time from the first byte to the end of the headers
   */
  HeaderTimeout(ConnectionGuard guard, Duration timeout) {
    this.guard = guard;
    this.timeout = timeout;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    long before = guard.requests();
    boolean bodyAwaited = guard.awaitsBody();
    context.fireChannelRead(message);
    if (bodyAwaited || guard.requests() > before) {
      stop();
    } else if (timer == null) {
      timer =
          context
              .executor()
              .schedule(
                  () -> guard.refuseSlowHeaders(timeout),
                  timeout.toMillis(),
                  TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    stop();
    context.fireChannelInactive();
  }

  private void stop() {
    Future<?> running = timer;
    if (running != null) {
      running.cancel(false);
      timer = null;
    }
  }
}
