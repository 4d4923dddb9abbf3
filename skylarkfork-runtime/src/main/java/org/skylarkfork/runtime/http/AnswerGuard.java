package org.skylarkfork.runtime.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/**
 * Keeps an answer to an earlier request on a kept connection from counting as the answer to the
 * request in progress, or as a part of it.
 *
 * <p>An upstream may answer a request twice, the second time late. Only the request id tells such
 * an answer apart, so that a connection is kept only while each answer names its request, and
 * carries no request id twice. {@link SecondHeadGuard} finds other answers inside a body.
 */
final class AnswerGuard extends ChannelDuplexHandler {

  private final CarriedRequests carried = new CarriedRequests();
  private @Nullable ChannelHandlerContext context;
  private @Nullable String requestId;
  private boolean inProgress;
  private boolean interim;
  private boolean insideAnswer;
  private boolean chunked;
  private boolean insideSecondHead;
  private boolean carriedEarlier;
  private boolean carriedAny;

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  /** Returns whether the connection has carried the request with an id. */
  boolean hasCarried(String id) {
    return carried.contains(id);
  }

  /** Returns whether the head of an answer was passed on and its end was not. */
  boolean isInsideAnswer() {
    return insideAnswer;
  }

  /** Ends the answer in progress as broken off, because another one begins inside it. */
  void endForSecondAnswer() {
    if (context != null) {
      fail(context, "another answer begins inside the answer");
    }
  }

  /**
   * Tells whether what may be the head of another answer has begun inside the answer and isn't
   * complete.
   */
  void setInsideSecondHead(boolean inside) {
    insideSecondHead = inside;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request) {
      begin(request.headers().get(HttpNames.REQUEST_ID));
    }
    context.write(message, promise);
  }

  private void begin(@Nullable String id) {
    if (id != null) {
      carried.add(id);
    }
    requestId = id;
    carriedEarlier = carriedAny;
    carriedAny = true;
    inProgress = true;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!inProgress) {
      ReferenceCountUtil.release(message);
      context.close();
      return;
    }
    if (message instanceof HttpResponse head && !accepts(head)) {
      ReferenceCountUtil.release(message);
      fail(context, "the answer can't be attributed to the request");
      return;
    }
    if (message instanceof LastHttpContent) {
      if (endsInsideSecondHead()) {
        ReferenceCountUtil.release(message);
        endForSecondAnswer();
        return;
      }
      inProgress = interim;
      interim = false;
      insideAnswer = false;
    }
    context.fireChannelRead(message);
  }

  /** The end of chunks is read behind them, so that it can't lie inside another answer. */
  private boolean endsInsideSecondHead() {
    return insideAnswer && insideSecondHead && !chunked;
  }

  private void fail(ChannelHandlerContext context, String reason) {
    inProgress = false;
    insideAnswer = false;
    context.fireExceptionCaught(new IOException(reason));
    context.close();
  }

  /** Returns whether an answer may be that to the request in progress. */
  private boolean accepts(HttpResponse head) {
    interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (interim) {
      return true;
    }
    if (JoinedHeads.isJoined(head, HttpNames.REQUEST_ID)) {
      return false;
    }
    String named = head.headers().get(HttpNames.REQUEST_ID);
    if (named == null || !named.equals(requestId) || carried.isFull()) {
      head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    chunked = HttpUtil.isTransferEncodingChunked(head);
    insideAnswer = named != null || !carriedEarlier;
    return insideAnswer;
  }
}
