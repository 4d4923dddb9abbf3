package org.skylarkfork.runtime.relay;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Answers of the daemon to requests that aren't whole, or no requests. */
final class EarlyAnswers {

  private EarlyAnswers() {}

  /** Returns the status for what the decoder has rejected. */
  static HttpResponseStatus statusOf(Throwable malformed) {
    return malformed instanceof TooLongFrameException
        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        : HttpResponseStatus.BAD_REQUEST;
  }

  /** Returns an answer without a body that announces the end of the connection. */
  static DefaultFullHttpResponse closing(HttpResponseStatus status) {
    DefaultFullHttpResponse answer =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    answer
        .headers()
        .set(HttpHeaderNames.CONTENT_LENGTH, 0)
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return answer;
  }

  /** Returns the interim answer by which a client goes on to send the body. */
  static DefaultFullHttpResponse goOn() {
    return new DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
  }
}
