package org.skylarkfork.standin.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.util.function.Function;
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
