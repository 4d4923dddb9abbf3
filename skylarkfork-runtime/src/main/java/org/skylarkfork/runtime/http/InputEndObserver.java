package org.skylarkfork.runtime.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Observes whether an upstream closed its connection after its last byte.
 *
 * <p>It stands before the decoder of answers, for which each end of a connection is the same: the
 * upstream's close, a reset, a write that fails, and a close on this side.
 */
public final class InputEndObserver extends ChannelInboundHandlerAdapter {

  private boolean closedByUpstream;
  private boolean failed;

  /** Returns whether the upstream closed the connection, and nothing failed before. */
  public boolean isClosedByUpstream() {
    return closedByUpstream && !failed;
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      closedByUpstream = true;
    }
    context.fireUserEventTriggered(event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    failed = true;
    context.fireExceptionCaught(cause);
  }
}
