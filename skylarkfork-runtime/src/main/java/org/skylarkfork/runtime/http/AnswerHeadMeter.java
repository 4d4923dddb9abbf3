package org.skylarkfork.runtime.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.limits.AnswerBuffers;
import org.skylarkfork.runtime.limits.HeadSize;
import org.skylarkfork.runtime.limits.IncompleteHead;

/**
 * Counts the heap of the head that a connection receives until the end of its answer, and gives the
 * answer up if all answers together take too much. Its place is behind the decoder.
 */
final class AnswerHeadMeter extends ChannelInboundHandlerAdapter
    implements IncompleteHead.Observer, AnswerBuffers.Holder {

  private final AnswerBuffers answers;
  private @Nullable ChannelHandlerContext context;
  private int incompleteBytes;
  private int headBytes;

  /**
   * Creates a meter of one connection.
   *
   * @param answers limits on all answers
   */
  AnswerHeadMeter(AnswerBuffers answers) {
    this.answers = answers;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void onIncompleteHead(int bytes) {
    incompleteBytes = bytes;
    record();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse head) {
      headBytes = HeadSize.of(head);
      record();
    }
    boolean ends = message instanceof LastHttpContent;
    context.fireChannelRead(message);
    if (ends) {
      headBytes = 0;
      record();
    }
  }

  private void record() {
    ChannelHandlerContext open = context;
    if (open != null && open.channel().isActive()) {
      answers.resize(this, incompleteBytes + headBytes);
    }
  }

  @Override
  public void giveUp() {
    ChannelHandlerContext open = context;
    if (open == null) {
      return;
    }
    if (open.executor().inEventLoop()) {
      giveUp(open);
    } else {
      open.executor().execute(() -> giveUp(open));
    }
  }

  private void giveUp(ChannelHandlerContext open) {
    AnswerCodec codec = open.pipeline().get(AnswerCodec.class);
    if (codec != null) {
      codec.discard();
    }
    open.fireExceptionCaught(new IOException("all answers together take too much memory"));
    open.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    answers.remove(this);
    context.fireChannelInactive();
  }
}
