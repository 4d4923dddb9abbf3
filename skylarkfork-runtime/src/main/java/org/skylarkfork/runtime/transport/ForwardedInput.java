package org.skylarkfork.runtime.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;

/**
 * Receives the blocks of a connection that a peer opened.
 *
 * <p>The empty block counts as the target's orderly close. Any other end of the channel is that of
 * the peer, or of the path to it; an answer that ends with its connection would look whole if it
 * counted as the target's.
 */
final class ForwardedInput extends ChannelInboundHandlerAdapter {

  private static final int LENGTH_BYTES = 4;

  /** A block is what one read has returned. */
  private static final int MAX_BLOCK_BYTES = 1 << 24;

  private boolean targetClosed;
  private boolean lost;

  /** Returns a decoder whose messages are the blocks. */
  static ByteToMessageDecoder blockDecoder() {
    return new LengthFieldBasedFrameDecoder(MAX_BLOCK_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
  }

  /** Returns an encoder that writes each buffer as a block. */
  static LengthFieldPrepender blockEncoder() {
    return new LengthFieldPrepender(LENGTH_BYTES);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf block = (ByteBuf) message;
    if (block.isReadable()) {
      context.fireChannelRead(block);
      return;
    }
    block.release();
    targetClosed = true;
    context.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    context.close();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      reportLost(context);
      context.close();
    } else {
      context.fireUserEventTriggered(event);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    reportLost(context);
    context.fireChannelInactive();
  }

  private void reportLost(ChannelHandlerContext context) {
    if (!targetClosed && !lost) {
      lost = true;
      context.fireExceptionCaught(
          new IOException("the connection ended before the peer had told the end of the target's"));
    }
  }
}
