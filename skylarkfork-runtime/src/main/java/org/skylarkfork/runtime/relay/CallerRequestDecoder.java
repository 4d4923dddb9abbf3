package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;
import org.skylarkfork.runtime.limits.IncompleteHead;

/** Decodes requests, and reports the heap of a head or of trailers while their end is missing. */
final class CallerRequestDecoder extends HttpRequestDecoder {

  private final IncompleteHead incompleteHead;

  /**
   * Creates a decoder.
   *
   * @param config size limits
   * @param observer receives the sizes
   */
  CallerRequestDecoder(HttpDecoderConfig config, IncompleteHead.Observer observer) {
    super(config);
    this.incompleteHead = new IncompleteHead(observer);
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) throws Exception {
    incompleteHead.begin();
    return super.createMessage(initialLine);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    int start = in.readerIndex();
    int before = out.size();
    super.decode(context, in, out);
    incompleteHead.onDecoded(in, start, out.subList(before, out.size()));
  }
}
