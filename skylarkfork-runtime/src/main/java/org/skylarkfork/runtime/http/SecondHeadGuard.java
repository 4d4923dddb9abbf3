package org.skylarkfork.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/**
 * Ends an answer in whose body another answer begins.
 *
 * <p>An upstream may answer a request twice. If the first answer has no length, or was cut inside
 * its body, the second one is read as the rest of that body. It stands before the decoder, which
 * tells nothing of the bytes behind the end of a length, and passes on what stands before a head
 * first: if the answer hasn't ended then, the head is inside its body.
 */
final class SecondHeadGuard extends ChannelInboundHandlerAdapter {

  private static final String BEFORE_DECODER = "skylarkfork.secondHeadGuard";
  private static final String BEHIND_DECODER = "skylarkfork.answerGuard";

  private final AnswerGuard answers;
  private SecondHeadDetector heads;

  /**
   * Creates a guard of one connection.
   *
   * @param answers guard of the decoded answers on the same connection
   */
  SecondHeadGuard(AnswerGuard answers) {
    this.answers = answers;
    this.heads = newDetector();
  }

  /** Returns a client whose connections are guarded, before and behind the decoder. */
  static HttpClient guarded(HttpClient client) {
    return client.doOnChannelInit(
        (observer, channel, address) -> {
          AnswerGuard answers = new AnswerGuard();
          channel
              .pipeline()
              .addBefore(NettyPipeline.HttpCodec, BEFORE_DECODER, new SecondHeadGuard(answers))
              .addAfter(NettyPipeline.HttpCodec, BEHIND_DECODER, answers);
        });
  }

  private SecondHeadDetector newDetector() {
    return new SecondHeadDetector(HttpNames.REQUEST_ID, answers::hasCarried);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof ByteBuf bytes)) {
      context.fireChannelRead(message);
      return;
    }
    try {
      while (bytes.isReadable()) {
        passUntilHead(context, bytes);
      }
    } finally {
      ReferenceCountUtil.release(bytes);
    }
  }

  /** Passes on the bytes up to the line in which a head names a request, or all of them. */
  private void passUntilHead(ChannelHandlerContext context, ByteBuf bytes) {
    boolean insideHead = heads.endsInsideHead();
    heads.ownBytes(bytes);
    int before = heads.bytesBeforeHead();
    int rest = heads.scannedBytes() - before;
    if (before > 0) {
      answers.setInsideSecondHead(false);
      context.fireChannelRead(bytes.readRetainedSlice(before));
    }
    if (before > 0 || !insideHead) {
      answers.setInsideSecondHead(answers.isInsideAnswer() && heads.endsInsideHead());
    }
    if (heads.isFound() && answers.isInsideAnswer()) {
      bytes.skipBytes(bytes.readableBytes());
      answers.endForSecondAnswer();
    } else if (rest > 0) {
      context.fireChannelRead(bytes.readRetainedSlice(rest));
    }
    if (heads.isFound()) {
      heads = newDetector();
    }
  }
}
