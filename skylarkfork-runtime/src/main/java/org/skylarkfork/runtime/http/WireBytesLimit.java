package org.skylarkfork.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;

/**
 * Limits the bytes that a connection receives for one request.
 *
 * <p>The HTTP library reads and drops interim answers, blank lines and chunk extensions, however
 * many there are, and a bound on bodies doesn't see them.
 */
final class WireBytesLimit extends ChannelInboundHandlerAdapter {

  private final long maxBytes;
  private long receivedBytes;

  private WireBytesLimit(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns a client each of whose connections receives at most so many bytes for a request. */
  static HttpClient limited(HttpClient client, long maxBytes) {
    return client
        .doOnChannelInit(
            (observer, channel, address) ->
                channel.pipeline().addFirst(new WireBytesLimit(maxBytes)))
        .doOnRequest((request, connection) -> restart(connection));
  }

  private static void restart(Connection connection) {
    Channel channel = connection.channel();
    channel.pipeline().get(WireBytesLimit.class).receivedBytes = 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    receivedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    if (receivedBytes <= maxBytes) {
      context.fireChannelRead(message);
      return;
    }
    ReferenceCountUtil.release(message);
    if (context.channel().isActive()) {
      context.fireExceptionCaught(
          new IllegalArgumentException("over " + maxBytes + " bytes came for one answer"));
      context.close();
    }
  }
}
