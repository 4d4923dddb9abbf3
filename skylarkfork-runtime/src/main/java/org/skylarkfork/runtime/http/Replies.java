package org.skylarkfork.runtime.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiFunction;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** What both listeners do alike: binding, whole replies and refusals. */
final class Replies {

  private static final String JSON_TYPE = "application/json";
  private static final long MILLIS_PER_SECOND = 1000;

  private final AnswerFormat format;
  private final String pathsPage;

  /**
   * Makes replies for a listener.
   *
   * @param format writes errors
   * @param pathsPage page of the docs that lists the listener's paths
   */
  Replies(AnswerFormat format, String pathsPage) {
    this.format = format;
    this.pathsPage = pathsPage;
  }

  /** Opens a listener with its bounds. */
  static DisposableServer bind(
      HttpSettings settings,
      BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
    return HttpServer.create()
        .host(settings.host())
        .port(settings.port())
        .httpRequestDecoder(
            decoder ->
                decoder
                    .maxInitialLineLength(settings.maxLineBytes())
                    .maxHeaderSize(settings.maxHeaderBytes()))
        .idleTimeout(settings.idleTimeout())
        .handle(handler)
        .bindNow();
  }

  /** Returns the address of an open listener. */
  static InetSocketAddress address(DisposableServer server) {
    return (InetSocketAddress) server.address();
  }

  /** Returns a future as a publisher that fails with the future's own cause. */
  static <T> Mono<T> future(CompletableFuture<T> value) {
    return Mono.fromFuture(value)
        .onErrorMap(
            CompletionException.class,
            failure -> failure.getCause() == null ? failure : failure.getCause());
  }

  /** Sends a whole JSON reply. */
  static Mono<Void> json(HttpServerResponse response, int status, String body) {
    return whole(response, status, JSON_TYPE, body);
  }

  /** Sends a whole reply. */
  static Mono<Void> whole(HttpServerResponse response, int status, String type, String body) {
    return response
        .status(status)
        .header(HttpHeaderNames.CONTENT_TYPE, type)
        .sendByteArray(Mono.just(body.getBytes(StandardCharsets.UTF_8)))
        .then();
  }

  /** Refuses a call for a path that does not exist. */
  Mono<Void> noSuchPath(HttpServerRequest request, HttpServerResponse response) {
    String what = request.method() + " " + request.fullPath();
    return refuse(
        response,
        RoutingError.notRun(
            ErrorKind.NOT_FOUND, "There is no " + what + ". See " + pathsPage + " for the paths."));
  }

  /** Refuses a call and says whether it ran and when to come back. */
  Mono<Void> refuse(HttpServerResponse response, RoutingError error) {
    response.header(HttpNames.RUN_STATE, error.runState().header());
    @Nullable Long retryAfter = error.retryAfterMillis();
    if (retryAfter != null) {
      long seconds = (retryAfter + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      response.header(HttpHeaderNames.RETRY_AFTER, Long.toString(seconds));
      response.header(HttpNames.RETRY_AFTER_MILLIS, Long.toString(retryAfter));
    }
    return json(response, error.kind().status(), format.error(error));
  }
}
