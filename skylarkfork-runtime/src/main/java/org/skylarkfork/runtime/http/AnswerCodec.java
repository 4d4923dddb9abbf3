package org.skylarkfork.runtime.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.skylarkfork.runtime.limits.AnswerBuffers;
import org.skylarkfork.runtime.limits.IncompleteHead;
import reactor.netty.NettyPipeline;
import reactor.netty.http.HttpDecoderSpec;
import reactor.netty.http.client.HttpClient;

/**
 * Codec of a connection to an engine or a plain service, in place of the HTTP library's own, whose
 * decoder takes heads that break the rules of the protocol.
 */
final class AnswerCodec extends CombinedChannelDuplexHandler<AnswerDecoder, HttpRequestEncoder> {

  private boolean headRequested;

  private AnswerCodec(IncompleteHead.Observer observer) {
    AnswerDecoder decoder = new AnswerDecoder(config(), observer);
    decoder.setEndsWithHead(head -> headRequested);
    init(decoder, new HttpRequestEncoder());
  }

  /** Returns the limits that the HTTP library has by default. */
  private static HttpDecoderConfig config() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(HttpDecoderSpec.DEFAULT_MAX_INITIAL_LINE_LENGTH)
        .setMaxHeaderSize(HttpDecoderSpec.DEFAULT_MAX_HEADER_SIZE)
        .setInitialBufferSize(HttpDecoderSpec.DEFAULT_INITIAL_BUFFER_SIZE);
  }

  /**
   * Returns a client whose connections have this codec, and tell how they end.
   *
   * @param client the client
   * @param answers limits on all answers
   */
  static HttpClient installed(HttpClient client, AnswerBuffers answers) {
    return client
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .doOnChannelInit((observer, channel, address) -> install(channel.pipeline(), answers));
  }

  private static void install(ChannelPipeline pipeline, AnswerBuffers answers) {
    InputEndObserver inputEnd = new InputEndObserver();
    AnswerHeadMeter heads = new AnswerHeadMeter(answers);
    pipeline.addFirst(inputEnd);
    pipeline.replace(NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, new AnswerCodec(heads));
    pipeline.addAfter(NettyPipeline.HttpCodec, null, heads);
    pipeline.addAfter(NettyPipeline.HttpCodec, null, new UnframedAnswerGuard(inputEnd));
  }

  /** Drops what is incomplete, and all that is received from now on. */
  void discard() {
    inboundHandler().discard();
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    if (message instanceof HttpRequest request) {
      headRequested = request.method().equals(HttpMethod.HEAD);
    }
    super.write(context, message, promise);
  }
}
