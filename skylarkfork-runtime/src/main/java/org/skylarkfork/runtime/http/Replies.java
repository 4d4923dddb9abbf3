package org.skylarkfork.runtime.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.runtime.startup.HttpServerBinding;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.NettyPipeline;
import reactor.netty.channel.AbortedException;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** What both listeners do alike: binding, whole replies and refusals. */
final class Replies {

  private static final String JSON_TYPE = "application/json";
  private static final long MILLIS_PER_SECOND = 1000;

  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AnswerFormat format;
  private final String pathsPage;
  private final Supplier<String> ids;
  private final ListenerLimits limits;

  /**
   * Makes replies for a listener.
   *
   * @param format writes errors
   * @param pathsPage page of the docs that lists the listener's paths
   * @param ids makes unique ids of refused requests
   * @param limits limits on what the listener's clients make the daemon hold
   */
  Replies(AnswerFormat format, String pathsPage, Supplier<String> ids, ListenerLimits limits) {
    this.format = format;
    this.pathsPage = pathsPage;
    this.ids = ids;
    this.limits = limits;
  }

  /** Opens a listener with its bounds. */
  DisposableServer bind(
      HttpSettings settings,
      BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
    HttpServer server =
        HttpServer.create()
            .httpRequestDecoder(
                decoder ->
                    decoder
                        .maxInitialLineLength(settings.maxLineBytes())
                        .maxHeaderSize(settings.maxHeaderBytes()))
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .doOnChannelInit(
                (observer, channel, remote) -> {
                  connections.add(channel);
                  closeLongestIdle(channel);
                  guard(channel.pipeline(), settings.bodyTimeout());
                })
            .idleTimeout(settings.idleTimeout())
            .handle(handler);
    return HttpServerBinding.bind(server, settings.host(), settings.port());
  }

  /**
   * Closes a listener and its connections.
   *
   * <p>Reactor Netty closes the listener only. A connection that stays would answer callers for a
   * daemon that has stopped, in place of letting them go to one that serves.
   */
  void close(DisposableServer server) {
    server.disposeNow();
    connections.close();
  }

  /** Closes the connection that has been idle for longest if there are too many, or the new one. */
  private void closeLongestIdle(Channel opened) {
    if (connections.size() <= limits.maxConnections()) {
      return;
    }
    Channel longest = opened;
    long since = Long.MAX_VALUE;
    for (Channel channel : connections) {
      ConnectionGuard guard = channel.pipeline().get(ConnectionGuard.class);
      if (channel.isActive() && guard != null && guard.isIdle() && guard.idleSince() < since) {
        longest = channel;
        since = guard.idleSince();
      }
    }
    connections.remove(longest);
    longest.close();
  }

  private void guard(ChannelPipeline pipeline, Duration timeout) {
    ConnectionGuard guard = new ConnectionGuard(format, ids);
    pipeline.addAfter(NettyPipeline.HttpCodec, "skylarkfork.guard", guard);
    pipeline.addBefore(
        NettyPipeline.HttpCodec, "skylarkfork.headers", new HeaderTimeout(guard, timeout));
    HeadMeter meter = new HeadMeter(guard, limits.heads());
    guard.measureWith(meter);
    pipeline.addBefore(NettyPipeline.HttpCodec, "skylarkfork.meter", meter);
  }

  /**
   * Answers a call, and refuses it with a typed error if that fails before an answer has begun.
   *
   * @param route finds and calls what answers; may throw
   */
  Mono<Void> guarded(HttpServerResponse response, Supplier<Mono<Void>> route) {
    return Mono.defer(route).onErrorResume(failure -> failed(response, failure));
  }

  private Mono<Void> failed(HttpServerResponse response, Throwable failure) {
    if (failure instanceof BadRequestException refused) {
      return refuse(response, refused.error());
    }
    if (response.hasSentHeaders()
        || failure instanceof IOException
        || failure instanceof AbortedException) {
      return Mono.error(failure);
    }
    if (failure instanceof RejectedExecutionException) {
      return refuse(
          response,
          RoutingError.notRunRetry(
              ErrorKind.NOT_SERVING, "This daemon has stopped. Use another entry.", 1000));
    }
    Logger.error(failure, "http: A call failed for a fault of the daemon.");
    return refuse(
        response,
        new RoutingError(
            ErrorKind.INTERNAL,
            "The daemon is at fault. Report it with the request id.",
            RunState.UNKNOWN,
            null));
  }

  /**
   * Returns the path of a call without its query.
   *
   * @throws BadRequestException if the target is no valid URI
   */
  static String path(HttpServerRequest request) {
    try {
      return request.fullPath();
    } catch (IllegalArgumentException malformed) {
      throw malformedTarget();
    }
  }

  /** Returns the refusal of a call whose path or query isn't encoded as it must be. */
  static BadRequestException malformedTarget() {
    return new BadRequestException(
        RoutingError.notRun(
            ErrorKind.BAD_REQUEST,
            "The path or query holds characters that must be percent-encoded. Encode them."));
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
    String what = request.method() + " " + path(request);
    return refuse(
        response,
        RoutingError.notRun(
            ErrorKind.NOT_FOUND, "There is no " + what + ". See " + pathsPage + " for the paths."));
  }

  /** Refuses a call and says whether it ran and when to come back. */
  Mono<Void> refuse(HttpServerResponse response, RoutingError error) {
    if (!response.responseHeaders().contains(HttpNames.REQUEST_ID)) {
      response.header(HttpNames.REQUEST_ID, ids.get());
      response.header(HttpNames.ATTEMPTS, "0");
      response.header(HttpNames.COST_MICROS, "0");
    }
    response.header(HttpNames.RUN_STATE, error.runState().headerValue());
    @Nullable Long retryAfter = error.retryAfterMillis();
    if (retryAfter != null) {
      long seconds = (retryAfter + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      response.header(HttpHeaderNames.RETRY_AFTER, Long.toString(seconds));
      response.header(HttpNames.RETRY_AFTER_MILLIS, Long.toString(retryAfter));
    }
    return json(response, error.kind().status(), format.error(error));
  }
}
