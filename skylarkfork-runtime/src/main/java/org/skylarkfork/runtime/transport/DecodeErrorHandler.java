package org.skylarkfork.runtime.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;

/**
 * Counts errors of TLS and the frame decoder, and closes the connection.
 *
 * <p>TLS closes the connection before it reports a failed handshake, so a later handler may see
 * only the end of the stream; this handler receives the error in each case.
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
