package org.skylarkfork.standin.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.util.function.Function;
import org.skylarkfork.standin.fault.PlannedAnswer;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Reads JSON bodies and sends JSON answers. */
public final class Exchange {

  private Exchange() {}

  /**
   * Reads the whole body of a request as text.
   *
   * @param request the request
   * @return the body, empty if there is none
   */
  public static Mono<String> body(HttpServerRequest request) {
    return request.receive().aggregate().asString().defaultIfEmpty("");
  }

  /**
   * Reads a JSON body and answers 400 if it is malformed, before anything is started.
   *
   * @param request the request
   * @param response the response
   * @param type the type of the body
   * @param handler answers a well-formed body
   * @return completes once the answer is sent
   */
  public static <T> Mono<Void> withBody(
      HttpServerRequest request,
      HttpServerResponse response,
      Class<T> type,
      Function<T, Mono<Void>> handler) {
    return body(request).flatMap(text -> parse(response, text, type, handler));
  }

  private static <T> Mono<Void> parse(
      HttpServerResponse response, String text, Class<T> type, Function<T, Mono<Void>> handler) {
    T value;
    try {
      value = Json.read(text, type);
    } catch (IllegalArgumentException e) {
      return refuse(response, 400, String.valueOf(e.getMessage()), "malformed_body");
    }
    return handler.apply(value);
  }

  /**
   * Sends a JSON answer.
   *
   * @param response the response
   * @param status the HTTP status
   * @param body a value that Jackson can write
   * @return completes once the answer is sent
   */
  public static Mono<Void> json(HttpServerResponse response, int status, Object body) {
    return response
        .status(status)
        .header(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .sendString(Mono.just(Json.write(body)))
        .then();
  }

  /**
   * Sends pieces of text, each as soon as it is there.
   *
   * @param response the response
   * @param pieces the pieces
   * @return completes once all pieces are sent
   */
  public static Mono<Void> sendEach(HttpServerResponse response, Flux<String> pieces) {
    Flux<ByteBuf> buffers =
        pieces.map(piece -> ByteBufUtil.writeUtf8(UnpooledByteBufAllocator.DEFAULT, piece));
    return response.send(buffers, buffer -> true).then();
  }

  /**
   * Sends a JSON answer with neither a length nor chunks, which ends with its connection.
   *
   * @param response the response
   * @param body a value that Jackson can write
   * @return completes once the answer is sent
   */
  public static Mono<Void> unframed(HttpServerResponse response, Object body) {
    response
        .header(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .chunkedTransfer(false)
        .keepAlive(false);
    return sendEach(response, Flux.just(Json.write(body)));
  }

  /**
   * Sends half of a JSON answer and closes the connection.
   *
   * @param response the response
   * @param body a value that Jackson can write
   * @return never completes
   */
  public static Mono<Void> half(HttpServerResponse response, Object body) {
    String whole = Json.write(body);
    Mono<String> half = Mono.just(whole.substring(0, whole.length() / 2));
    return sendEach(response, Flux.concat(half, cut(response)));
  }

  /**
   * Plans a second answer to a request that isn't answered yet.
   *
   * @param response the response
   * @param plan the second answer
   */
  public static void answerTwice(HttpServerResponse response, PlannedAnswer plan) {
    response.withConnection(
        connection -> connection.channel().pipeline().get(SecondAnswers.class).plan(plan));
  }

  /**
   * Closes the connection in the middle of an answer.
   *
   * @param response the response
   * @return never completes; subscribing to it closes the connection
   */
  public static <T> Mono<T> cut(HttpServerResponse response) {
    return Mono.defer(
        () -> {
          response.withConnection(connection -> closeAfterFlush(connection.channel()));
          return Mono.never();
        });
  }

  /** Closes a channel once what was written before has left, so that the caller sees a part. */
  private static void closeAfterFlush(Channel channel) {
    channel
        .eventLoop()
        .execute(
            () -> {
              channel.flush();
              channel.close();
            });
  }

  /**
   * Refuses a request of which nothing was started.
   *
   * @param response the response
   * @param status the HTTP status
   * @param message one sentence that names the remedy
   * @param code a short word for programs
   * @return completes once the refusal is sent
   */
  public static Mono<Void> refuse(
      HttpServerResponse response, int status, String message, String code) {
    response.header(Headers.NOT_STARTED, "true");
    return json(response, status, ErrorBody.of(message, "refused", code));
  }

  /**
   * Reads a header that holds a whole number.
   *
   * @param request the request
   * @param name the name of the header
   * @param otherwise the value for an absent or malformed header
   * @return the number
   */
  public static int number(HttpServerRequest request, String name, int otherwise) {
    String text = request.requestHeaders().get(name);
    if (text == null) {
      return otherwise;
    }
    try {
      return Integer.parseInt(text.trim());
    } catch (NumberFormatException e) {
      return otherwise;
    }
  }

  /**
   * Reads a header that holds text.
   *
   * @param request the request
   * @param name the name of the header
   * @param otherwise the value for an absent or empty header
   * @return the text
   */
  public static String text(HttpServerRequest request, String name, String otherwise) {
    String text = request.requestHeaders().get(name);
    return text == null || text.isEmpty() ? otherwise : text;
  }
}
