package org.skylarkfork.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.limits.IncompleteHead;

/**
 * Decodes answers of upstreams, and fails those whose head breaks the rules of the protocol.
 *
 * <p>The library's decoder is lenient: it takes any number for a status, and ends a name at the
 * first blank. Nothing behind it sees what was received, so each head is validated before the
 * library reads it. It also takes a body whose transfer coding it doesn't know.
 */
public final class AnswerDecoder extends HttpResponseDecoder {

  private final IncompleteHead incompleteHead;
  private final AnswerHeadValidator validator = new AnswerHeadValidator();
  private Predicate<HttpResponse> endsWithHead = head -> false;
  private boolean expectsHead = true;
  private boolean failed;
  private @Nullable ChannelHandlerContext context;

  /**
   * Creates a decoder.
   *
   * @param config size limits
   * @param observer receives the heap of heads and trailers whose end is missing
   */
  public AnswerDecoder(HttpDecoderConfig config, IncompleteHead.Observer observer) {
    super(config);
    this.incompleteHead = new IncompleteHead(observer);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) throws Exception {
    context = added;
    super.handlerAdded(added);
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    incompleteHead.begin();
    return super.createMessage(initialLine);
  }

  /**
   * Sets which answers end with their head, whatever length it states; those to HEAD do, and only
   * the request tells them.
   */
  public void setEndsWithHead(Predicate<HttpResponse> answers) {
    endsWithHead = answers;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return message instanceof HttpResponse head && endsWithHead.test(head)
        || super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (expectsHead && !failed) {
      validateHead(in, out);
    }
    if (failed) {
      in.skipBytes(in.readableBytes());
      return;
    }
    int start = in.readerIndex();
    int before = out.size();
    super.decode(context, in, out);
    validator.onConsumed(in.readerIndex() - start);
    for (int index = before; index < out.size() && !failed; index++) {
      onDecoded(out, index);
    }
    incompleteHead.onDecoded(in, start, out.subList(before, out.size()));
  }

  private void validateHead(ByteBuf in, List<Object> out) {
    validator.validate(in);
    if (validator.isBroken()) {
      failed = true;
      out.add(broken("the head of an answer breaks the rules of the protocol"));
    }
  }

  private static HttpResponse broken(String reason) {
    HttpResponse broken =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
    broken.setDecoderResult(DecoderResult.failure(new DecoderException(reason)));
    return broken;
  }

  private void onDecoded(List<Object> out, int index) {
    Object part = out.get(index);
    failed = part instanceof HttpObject decoded && decoded.decoderResult().isFailure();
    if (part instanceof HttpResponse head) {
      expectsHead = false;
      if (!failed && !hasReadableCoding(head)) {
        failed = true;
        out.set(index, broken("an answer has a transfer coding that nobody asked for"));
      }
    }
    if (part instanceof LastHttpContent) {
      expectsHead = true;
      validator.restart();
    }
  }

  /**
   * Returns whether the body is decoded in full: chunks are the only coding that each recipient
   * reads, and the library passes the bytes of any other on as they are.
   */
  private static boolean hasReadableCoding(HttpResponse head) {
    List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return codings.isEmpty()
        || codings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip());
  }

  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (failed) {
      in.skipBytes(in.readableBytes());
    } else {
      super.decodeLast(context, in, out);
    }
  }

  /**
   * Drops what is incomplete, and all that is received from now on. A closed connection is referred
   * to until the event loop selects again, and with it the lines that the library keeps.
   */
  public void discard() {
    failed = true;
    reset();
    try {
      // The library resets with the next bytes that it decodes.
      super.decode(context(), Unpooled.EMPTY_BUFFER, new ArrayList<>());
    } catch (Exception e) {
      throw new IllegalStateException("no bytes can't be decoded", e);
    }
  }

  private ChannelHandlerContext context() {
    if (context == null) {
      throw new IllegalStateException("the decoder isn't in a pipeline");
    }
    return context;
  }

  /** Returns whether bytes were read that are not decoded yet. */
  public boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  /** Returns the bytes that were read and are not decoded yet; they belong to the decoder. */
  public ByteBuf undecodedBytes() {
    return internalBuffer();
  }
}
