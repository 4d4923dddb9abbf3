package org.skylarkfork.runtime.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/**
 * Fails an answer with neither a length nor chunks whose connection ends in another way than by the
 * upstream's close.
 *
 * <p>For the decoder before it each end of the connection is the end of such an answer, also a
 * write that fails because the upstream reset the connection while the request was being sent.
 */
final class UnframedAnswerGuard extends ChannelInboundHandlerAdapter {

  private final InputEndObserver inputEnd;
  private boolean unframed;

  /**
   * Creates a guard of one connection.
   *
   * @param inputEnd receives the events of the channel before the decoder
   */
  UnframedAnswerGuard(InputEndObserver inputEnd) {
    this.inputEnd = inputEnd;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse head) {
      unframed = !HttpUtil.isTransferEncodingChunked(head) && !HttpUtil.isContentLengthSet(head);
    }
    if (message instanceof LastHttpContent && isBrokenOff(context)) {
      ReferenceCountUtil.release(message);
      context.fireExceptionCaught(new IOException("the connection broke off inside the answer"));
      return;
    }
    context.fireChannelRead(message);
  }

  /** An answer that can't have a body ends with its head, while the connection is open. */
  private boolean isBrokenOff(ChannelHandlerContext context) {
    return unframed && !context.channel().isActive() && !inputEnd.isClosedByUpstream();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    context.fireUserEventTriggered(event);
    if (event instanceof ChannelInputShutdownEvent) {
      context.close();
    }
  }
}
