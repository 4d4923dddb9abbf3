package org.skylarkfork.runtime.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.CallerEvent;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.request.AnswerMetadata;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.Header;
import org.skylarkfork.core.request.RequestKind;
import org.skylarkfork.runtime.limits.MemoryBudget;
import org.skylarkfork.runtime.limits.RequestBuffers;
import org.skylarkfork.runtime.loop.ReducerLoop;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The listener for callers and for the announcements of upstreams. */
public final class CallerServer implements AutoCloseable {

  private static final long MILLIS_PER_SECOND = 1000;
  private static final String SERVICES = "/services/";

  private final HttpSettings settings;
  private final ReducerLoop loop;
  private final EdgeQueries queries;
  private final InstantSource clock;
  private final Supplier<String> requestIds;
  private final ObjectMapper json;
  private final RequestParser parser;
  private final AnnouncementParser announcements;
  private final AnswerFormat format;
  private final Replies replies;
  private final BodyReader bodies;
  private final RequestBuffers unread = MemoryBudget.ofProcess().unreadFrames();
  private final Map<String, CallerAnswer> answers = new ConcurrentHashMap<>();
  private @Nullable DisposableServer server;

  /**
   * Makes a listener; {@link #start} opens it.
   *
   * @param settings address and bounds
   * @param loop takes the events
   * @param queries answers questions on the daemon's state
   * @param clock the daemon's clock
   * @param requestIds makes unique request ids
   * @param json reads and writes JSON
   */
  public CallerServer(
      HttpSettings settings,
      ReducerLoop loop,
      EdgeQueries queries,
      InstantSource clock,
      Supplier<String> requestIds,
      ObjectMapper json) {
    this.settings = settings;
    this.loop = loop;
    this.queries = queries;
    this.clock = clock;
    this.requestIds = requestIds;
    this.json = json;
    this.parser = new RequestParser(json, settings.defaultDeadline());
    this.announcements = new AnnouncementParser(json);
    this.format = new AnswerFormat(json);
    ListenerLimits limits = ListenerLimits.ofProcess();
    this.replies = new Replies(format, "docs/CALLERS.md", requestIds, limits);
    this.bodies = new BodyReader(settings.maxBodyBytes(), settings.bodyTimeout(), limits.bodies());
  }

  /** Opens the listener and returns its address. */
  public InetSocketAddress start() {
    DisposableServer bound = replies.bind(settings, this::handle);
    server = bound;
    return Replies.address(bound);
  }

  /** Carries an answer to its caller; ignored if the caller has left. */
  public void execute(CallerEffect effect) {
    CallerAnswer answer = answers.get(effect.requestId());
    if (answer == null) {
      return;
    }
    RequestKind kind = answer.request().kind();
    if (effect instanceof CallerEffect.BeginStream begin) {
      answer.begin(begin);
    } else if (effect instanceof CallerEffect.SendTokens tokens) {
      answer.add(format.chunk(kind, answer.facts(), answer.created(), tokens.text()));
    } else if (effect instanceof CallerEffect.EndStream end) {
      answer.add(
          format.lastChunk(
              kind, answer.facts(), answer.created(), end.finishReason(), end.usage()));
      answer.add(comment(end.facts()) + AnswerFormat.DONE);
      answer.end();
    } else if (effect instanceof CallerEffect.BreakStream broken) {
      answer.add(comment(broken.facts()) + format.errorFrame(broken.error()));
      answer.end();
    } else {
      answer.head().complete(effect);
    }
  }

  /** Drops the caller of an answer that couldn't be sent, who knows it to be incomplete then. */
  public void onFailed(CallerEffect effect) {
    CallerAnswer answer = answers.get(effect.requestId());
    if (answer != null) {
      answer.head().completeExceptionally(new IllegalStateException("the answer can't be sent"));
      answer.refuse();
    }
  }

  private static String comment(AnswerMetadata facts) {
    return ": attempts=" + facts.attempts() + " cost-micros=" + facts.costMicros() + "\n";
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return replies.guarded(response, () -> route(request, response));
  }

  private Mono<Void> route(HttpServerRequest request, HttpServerResponse response) {
    if (Replies.path(request).startsWith(SERVICES)) {
      return call(request, response);
    }
    if (request.method().equals(HttpMethod.POST)) {
      return post(request, response);
    }
    if (request.method().equals(HttpMethod.GET)) {
      return get(request, response);
    }
    return replies.noSuchPath(request, response);
  }

  private Mono<Void> post(HttpServerRequest request, HttpServerResponse response) {
    return switch (Replies.path(request)) {
      case "/v1/chat/completions" -> draft(RequestKind.CHAT, request, response);
      case "/v1/completions" -> draft(RequestKind.COMPLETION, request, response);
      case "/v1/upstreams" -> announced(request, response);
      default -> replies.noSuchPath(request, response);
    };
  }

  private Mono<Void> get(HttpServerRequest request, HttpServerResponse response) {
    return switch (Replies.path(request)) {
      case "/v1/models" -> models(request, response);
      case "/v1/entries" -> entries(response);
      case "/healthz" -> Replies.json(response, 200, "{\"status\":\"ok\"}");
      case "/readyz" -> ready(response);
      default -> replies.noSuchPath(request, response);
    };
  }

  private Mono<Void> draft(
      RequestKind kind, HttpServerRequest request, HttpServerResponse response) {
    RequestParser.keyHash(request.requestHeaders());
    return bodies.read(
        request,
        body ->
            serve(
                parser.draft(
                    requestIds.get(), kind, request.requestHeaders(), body, clock.instant()),
                response));
  }

  private Mono<Void> call(HttpServerRequest request, HttpServerResponse response) {
    RequestParser.keyHash(request.requestHeaders());
    int start = request.uri().indexOf(SERVICES);
    if (start < 0) {
      return replies.noSuchPath(request, response);
    }
    String rest = request.uri().substring(start + SERVICES.length());
    int end = endOfName(rest);
    String service = rest.substring(0, end);
    String path =
        rest.substring(end).startsWith("/") ? rest.substring(end) : "/" + rest.substring(end);
    return bodies.read(
        request,
        body ->
            serve(
                parser.call(
                    requestIds.get(),
                    service,
                    request.method().name(),
                    path,
                    request.requestHeaders(),
                    body,
                    clock.instant()),
                response));
  }

  private static int endOfName(String rest) {
    for (int i = 0; i < rest.length(); i++) {
      if (rest.charAt(i) == '/' || rest.charAt(i) == '?') {
        return i;
      }
    }
    return rest.length();
  }

  private Mono<Void> serve(CallerRequest request, HttpServerResponse response) {
    String id = request.requestId();
    CallerAnswer answer = new CallerAnswer(request, clock.instant(), unread);
    answers.put(id, answer);
    if (!loop.offer(new CallerEvent.RequestReceived(request))) {
      answers.remove(id);
      return replies.refuse(
          response,
          RoutingError.notRunRetry(
              ErrorKind.NO_CAPACITY, "This entry is overloaded. Use another entry.", 1000));
    }
    return Mono.fromFuture(answer.head(), true)
        .flatMap(head -> write(answer, head, response))
        .doOnSuccess(done -> finished(id, written(answer)))
        .doOnError(failure -> finished(id, new CallerEvent.CallerLeft(id)))
        .doOnCancel(() -> finished(id, new CallerEvent.CallerLeft(id)));
  }

  /**
   * The HTTP library ends a stream without an error when its caller leaves. Was that taken for the
   * whole answer, the engine would work on and the answer be billed as delivered.
   */
  private static CallerEvent written(CallerAnswer answer) {
    String id = answer.request().requestId();
    return answer.isCut() ? new CallerEvent.CallerLeft(id) : new CallerEvent.AnswerDelivered(id);
  }

  private void finished(String requestId, CallerEvent event) {
    CallerAnswer answer = answers.remove(requestId);
    if (answer != null) {
      answer.release();
      loop.submit(event);
    }
  }

  private Mono<Void> write(CallerAnswer answer, CallerEffect head, HttpServerResponse response) {
    if (head instanceof CallerEffect.Refuse refused) {
      facts(response, refused.facts());
      return replies.refuse(response, refused.error());
    }
    if (head instanceof CallerEffect.SendDraft draft) {
      facts(response, draft.facts());
      return Replies.json(
          response,
          200,
          format.whole(
              answer.request().kind(),
              draft.facts(),
              answer.created(),
              draft.text(),
              draft.finishReason(),
              draft.usage()));
    }
    if (head instanceof CallerEffect.SendServiceAnswer service) {
      facts(response, service.facts());
      response.status(service.status());
      for (Header header : service.headers()) {
        response.addHeader(header.name(), header.value());
      }
      return response.sendByteArray(Mono.just(service.body().value())).then();
    }
    facts(response, answer.facts());
    response.header("Content-Type", "text/event-stream; charset=utf-8");
    response.header("Cache-Control", "no-cache");
    response.withConnection(connection -> answer.onDrop(connection::dispose));
    return response
        .send(
            answer
                .frames()
                .map(
                    frame ->
                        response
                            .alloc()
                            .buffer()
                            .writeBytes(frame.getBytes(StandardCharsets.UTF_8))),
            flushed -> true)
        .then();
  }

  private Mono<Void> announced(HttpServerRequest request, HttpServerResponse response) {
    return bodies.read(
        request,
        body -> {
          loop.submit(new UpstreamEvent.Announced(announcements.parse(body)));
          return Replies.future(queries.announceMillis())
              .flatMap(millis -> Replies.json(response, 200, "{\"nextMillis\":" + millis + "}"));
        });
  }

  private Mono<Void> models(HttpServerRequest request, HttpServerResponse response) {
    return answer(response, queries.models(RequestParser.keyHash(request.requestHeaders())));
  }

  /** Callers and caches may keep the list as long as its own lifetime says, and no longer. */
  private Mono<Void> entries(HttpServerResponse response) {
    return Replies.future(queries.entries())
        .flatMap(
            list -> {
              long lifetime = json.valueToTree(list).path("lifetimeMillis").asLong(0);
              response.header("Cache-Control", "max-age=" + lifetime / MILLIS_PER_SECOND);
              return Replies.json(response, 200, text(list));
            });
  }

  private Mono<Void> ready(HttpServerResponse response) {
    return Replies.future(queries.readiness())
        .flatMap(
            readiness -> Replies.json(response, readiness.ready() ? 200 : 503, text(readiness)));
  }

  private <T> Mono<Void> answer(HttpServerResponse response, CompletableFuture<T> value) {
    return Replies.future(value).flatMap(found -> Replies.json(response, 200, text(found)));
  }

  private static void facts(HttpServerResponse response, AnswerMetadata facts) {
    response.header(HttpNames.REQUEST_ID, facts.requestId());
    response.header(HttpNames.ATTEMPTS, Integer.toString(facts.attempts()));
    response.header(HttpNames.COST_MICROS, Long.toString(facts.costMicros()));
    optional(response, HttpNames.MODEL, facts.model());
    optional(response, HttpNames.VERSION, facts.version());
    optional(response, HttpNames.UPSTREAM, facts.upstream());
    optional(response, HttpNames.SESSION_TOKEN, facts.sessionToken());
    optional(response, HttpNames.NOTICE, facts.notice());
  }

  private static void optional(HttpServerResponse response, String name, @Nullable String value) {
    if (value != null) {
      response.header(name, value);
    }
  }

  private String text(Object value) {
    try {
      return json.writeValueAsString(value);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException("each answer is a plain record", impossible);
    }
  }

  /** Closes the listener and its connections. */
  @Override
  public void close() {
    DisposableServer open = server;
    if (open != null) {
      replies.close(open);
      Logger.info("http: The callers' listener is closed.");
    }
  }
}
