package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.skylarkfork.runtime.limits.TooLongAnswerException;

/**
 * Limits the bytes that an upstream sends without any that belong to the body of the answer.
 *
 * <p>It stands before the decoder of answers, which limits a line and a head, but not how many
 * blank bytes, interim answers, chunk extensions and answers to other requests it reads.
 */
final class UnusedBytesLimit extends ChannelInboundHandlerAdapter {

  /**
   * Maximum number of bytes, far more than a head and late answers to earlier requests have. They
   * aren't buffered.
   */
  static final int MAX_UNUSED_BYTES = 1 << 20;

  private long unusedBytes;
  private boolean exceeded;

  /** Begins to count anew, since a request was sent or bytes of its answer were received. */
  void restart() {
    unusedBytes = 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (exceeded) {
      ReferenceCountUtil.release(message);
      return;
    }
    unusedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    context.fireChannelRead(message);
    if (unusedBytes > MAX_UNUSED_BYTES) {
      exceeded = true;
      context.fireExceptionCaught(
          new TooLongAnswerException("what was received beside the answer", MAX_UNUSED_BYTES));
    }
  }
}
