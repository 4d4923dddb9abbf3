package org.skylarkfork.runtime.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Observes bytes that an upstream sends while no request is in progress on its connection.
 *
 * <p>It stands before the decoder, which passes on nothing of a head that is not complete and would
 * join it with the head of the next answer.
 */
final class IdleBytesObserver extends ChannelInboundHandlerAdapter {

  private final UpstreamConnection connection;

  IdleBytesObserver(UpstreamConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object bytes) {
    boolean idle = connection.isIdle();
    context.fireChannelRead(bytes);
    if (idle) {
      connection.onIdleBytes();
    }
  }
}
