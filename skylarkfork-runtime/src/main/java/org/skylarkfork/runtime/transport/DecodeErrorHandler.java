package org.skylarkfork.runtime.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;

/**
 * Counts what TLS and the frame decoder refuse, and closes the connection.
 *
 * <p>TLS closes the connection before it reports a failed handshake, so a reader of the stream may
 * see a plain end; here the error is seen in each case.
 */
final class DecodeErrorHandler extends ChannelInboundHandlerAdapter {

  private final PeerContext context;

  DecodeErrorHandler(PeerContext context) {
    this.context = context;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable error) {
    if (error instanceof DecoderException) {
      context.recordFailure(String.valueOf(handlerContext.channel().remoteAddress()), error);
      handlerContext.close();
      return;
    }
    handlerContext.fireExceptionCaught(error);
  }
}
