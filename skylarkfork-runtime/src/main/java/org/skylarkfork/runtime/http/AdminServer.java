package org.skylarkfork.runtime.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.OperatorEvent;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.loop.ReducerLoop;
import org.skylarkfork.runtime.trace.Metrics;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The listener for operators: the admin API, metrics and health. */
public final class AdminServer implements AutoCloseable {

  private static final String ROOT = "/admin/v1/";
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(15);
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private final HttpSettings settings;
  private final ReducerLoop loop;
  private final AdminQueries queries;
  private final EdgeQueries edge;
  private final Metrics metrics;
  private final InstantSource clock;
  private final Codec codec;
  private final AdminCalls calls;
  private final Replies replies;
  private final BodyReader bodies;
  private final Map<String, CompletableFuture<OperatorEffect>> waiting = new ConcurrentHashMap<>();
  private @Nullable DisposableServer server;

  /**
   * Makes a listener; {@link #start} opens it.
   *
   * @param settings address and bounds
   * @param loop takes the events
   * @param queries answers questions on the daemon's state
   * @param edge tells whether the daemon takes new work
   * @param metrics metrics to show
   * @param clock the daemon's clock
   * @param ids makes unique ids of calls
   * @param json reads and writes JSON
   * @param codec reads changes and writes answers
   */
  public AdminServer(
      HttpSettings settings,
      ReducerLoop loop,
      AdminQueries queries,
      EdgeQueries edge,
      Metrics metrics,
      InstantSource clock,
      Supplier<String> ids,
      ObjectMapper json,
      Codec codec) {
    this.settings = settings;
    this.loop = loop;
    this.queries = queries;
    this.edge = edge;
    this.metrics = metrics;
    this.clock = clock;
    this.codec = codec;
    this.calls =
        new AdminCalls(json, codec, new RequestParser(json, settings.defaultDeadline()), ids);
    ListenerLimits limits = ListenerLimits.ofProcess();
    this.replies = new Replies(new AnswerFormat(json), "docs/OPERATIONS.md", ids, limits);
    this.bodies = new BodyReader(settings.maxBodyBytes(), settings.bodyTimeout(), limits.bodies());
  }

  /** Opens the listener and returns its address. */
  public InetSocketAddress start() {
    DisposableServer bound = replies.bind(settings, this::handle);
    server = bound;
    return Replies.address(bound);
  }

  /** Carries an answer to its operator; ignored if the call has timed out. */
  public void execute(OperatorEffect effect) {
    CompletableFuture<OperatorEffect> call = waiting.remove(effect.callId());
    if (call != null) {
      call.complete(effect);
    }
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return replies.guarded(response, () -> route(request, response));
  }

  private Mono<Void> route(HttpServerRequest request, HttpServerResponse response) {
    String path = Replies.path(request);
    if (path.startsWith(ROOT)) {
      String keyHash = RequestParser.keyHash(request.requestHeaders());
      String[] parts = path.substring(ROOT.length()).split("/", 2);
      String argument = parts.length > 1 ? parts[1] : "";
      if (request.method().equals(HttpMethod.POST)) {
        return post(parts[0], keyHash, request, response);
      }
      return request.method().equals(HttpMethod.GET)
          ? get(parts[0], argument, keyHash, request, response)
          : replies.noSuchPath(request, response);
    }
    return switch (path) {
      case "/metrics" ->
          Replies.future(queries.refreshGauges())
              .flatMap(fresh -> Replies.whole(response, 200, METRICS_TYPE, metrics.text()));
      case "/healthz" -> Replies.json(response, 200, "{\"status\":\"ok\"}");
      case "/readyz" -> ready(response);
      default -> replies.noSuchPath(request, response);
    };
  }

  private Mono<Void> post(
      String resource, String keyHash, HttpServerRequest request, HttpServerResponse response) {
    return switch (resource) {
      case "changes" ->
          bodies.read(
              request,
              body -> ask(calls.change(keyHash, request.requestHeaders(), body), response));
      case "control-vms" ->
          operator(keyHash)
              .then(bodies.read(request, body -> ask(calls.controlVm(body), response)));
      case "dry-run" -> dryRun(keyHash, request, response);
      default -> replies.noSuchPath(request, response);
    };
  }

  private Mono<Void> dryRun(
      String keyHash, HttpServerRequest request, HttpServerResponse response) {
    return operator(keyHash)
        .then(
            bodies.read(
                request,
                body ->
                    ask(
                        calls.dryRun(
                            query(request), request.requestHeaders(), body, clock.instant()),
                        response)));
  }

  private Mono<Void> get(
      String resource,
      String argument,
      String keyHash,
      HttpServerRequest request,
      HttpServerResponse response) {
    return switch (resource) {
      case "configuration" -> ask(calls.configuration(keyHash), response);
      case "revisions" ->
          ask(
              argument.isEmpty()
                  ? calls.history(keyHash, query(request))
                  : calls.revision(keyHash, argument),
              response);
      case "differences" -> ask(calls.difference(keyHash, query(request)), response);
      case "in-force" -> ask(calls.inForce(keyHash, argument), response);
      default ->
          operator(keyHash)
              .then(Replies.future(queries.view(resource, argument)))
              .flatMap(view -> Replies.json(response, 200, codec.toJson(view)));
    };
  }

  /**
   * Returns the query of a call.
   *
   * @throws BadRequestException if an escape in it is malformed
   */
  private static QueryStringDecoder query(HttpServerRequest request) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    try {
      query.parameters();
    } catch (IllegalArgumentException malformed) {
      throw Replies.malformedTarget();
    }
    return query;
  }

  private Mono<Void> operator(String keyHash) {
    return Replies.future(queries.isOperator(keyHash))
        .flatMap(
            known ->
                known
                    ? Mono.<Void>empty()
                    : Mono.error(
                        new BadRequestException(
                            RoutingError.notRun(
                                ErrorKind.UNAUTHORIZED,
                                "The operator key is unknown. Ask another operator for one."))));
  }

  private Mono<Void> ask(OperatorEvent event, HttpServerResponse response) {
    CompletableFuture<OperatorEffect> answer = new CompletableFuture<>();
    waiting.put(event.callId(), answer);
    loop.submit(event);
    return Mono.fromFuture(answer)
        .timeout(CALL_TIMEOUT)
        .onErrorMap(TimeoutException.class, late -> unanswered())
        .doFinally(end -> waiting.remove(event.callId()))
        .flatMap(effect -> answer(effect, response));
  }

  private static BadRequestException unanswered() {
    return new BadRequestException(
        new RoutingError(
            ErrorKind.DEADLINE,
            "No answer came in time. Send the change again with the same change id.",
            RunState.UNKNOWN,
            1000L));
  }

  private Mono<Void> answer(OperatorEffect effect, HttpServerResponse response) {
    if (effect instanceof OperatorEffect.RefuseOperator refused) {
      return replies.refuse(response, refused.error());
    }
    if (effect instanceof OperatorEffect.ChangeConflict conflict) {
      return Replies.json(response, conflict.error().kind().status(), codec.toJson(conflict));
    }
    if (effect instanceof OperatorEffect.ChangeInvalid invalid) {
      return Replies.json(response, invalid.error().kind().status(), codec.toJson(invalid));
    }
    if (effect instanceof OperatorEffect.ChangeAccepted accepted) {
      response.header(HttpHeaderNames.ETAG, tag(accepted.revision()));
    }
    if (effect instanceof OperatorEffect.SendConfiguration sent) {
      response.header(HttpHeaderNames.ETAG, tag(sent.configuration().revision()));
      return Replies.json(response, 200, codec.toJson(sent.configuration()));
    }
    return Replies.json(response, 200, codec.toJson(effect));
  }

  private static String tag(long revision) {
    return "\"" + revision + "\"";
  }

  private Mono<Void> ready(HttpServerResponse response) {
    return Replies.future(edge.readiness())
        .flatMap(
            readiness ->
                Replies.json(response, readiness.ready() ? 200 : 503, codec.toJson(readiness)));
  }

  /** Closes the listener and its connections. */
  @Override
  public void close() {
    DisposableServer open = server;
    if (open != null) {
      replies.close(open);
    }
  }
}
