package org.skylarkfork.runtime.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/**
 * Drops interim answers (1xx). The HTTP library takes each but 100 for the answer, and the answer
 * itself for that to the next request on the connection.
 */
final class InterimAnswerFilter extends ChannelInboundHandlerAdapter {

  private boolean dropping;

  /** Returns a client that doesn't see interim answers. */
  static HttpClient filtered(HttpClient client) {
    return client.doOnChannelInit(
        (observer, channel, address) ->
            channel.pipeline().addAfter(NettyPipeline.HttpCodec, null, new InterimAnswerFilter()));
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse head) {
      dropping = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }
    if (!dropping) {
      context.fireChannelRead(message);
      return;
    }
    ReferenceCountUtil.release(message);
    if (message instanceof LastHttpContent) {
      dropping = false;
      context.read();
    }
  }
}
