package org.skylarkfork.runtime.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/**
 * Keeps an answer to an earlier request on a kept connection from counting as the answer to the
 * request in progress.
 *
 * <p>An upstream may answer a request twice, the second time late. Only the request id tells such
 * an answer apart, so that a connection is kept only while each answer names its request, and
 * carries no request id twice.
 */
final class AnswerGuard extends ChannelDuplexHandler {

  private @Nullable String requestId;
  private boolean inProgress;
  private boolean interim;
  private boolean carriedEarlier;
  private boolean carried;

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request) {
      requestId = request.headers().get(HttpNames.REQUEST_ID);
      carriedEarlier = carried;
      carried = true;
      inProgress = true;
    }
    context.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!inProgress) {
      ReferenceCountUtil.release(message);
      context.close();
      return;
    }
    if (message instanceof HttpResponse head && !accepts(head)) {
      inProgress = false;
      ReferenceCountUtil.release(message);
      context.fireExceptionCaught(new IOException("the answer can't be attributed to the request"));
      context.close();
      return;
    }
    if (message instanceof LastHttpContent) {
      inProgress = interim;
      interim = false;
    }
    context.fireChannelRead(message);
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
    if (named == null || !named.equals(requestId)) {
      head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return named != null || !carriedEarlier;
  }
}
