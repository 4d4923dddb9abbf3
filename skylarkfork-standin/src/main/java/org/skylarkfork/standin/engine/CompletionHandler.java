package org.skylarkfork.standin.engine;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.standin.fault.FaultKind;
import org.skylarkfork.standin.fault.Faults;
import org.skylarkfork.standin.http.ErrorBody;
import org.skylarkfork.standin.http.Exchange;
import org.skylarkfork.standin.http.Headers;
import org.skylarkfork.standin.http.OpenCalls;
import org.skylarkfork.standin.http.RunLog;
import org.skylarkfork.standin.text.AnswerText;
import org.skylarkfork.standin.text.PromptText;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Answers calls for completions, streamed or whole, and shows the faults that concern them. */
final class CompletionHandler {

  private static final int LOWEST_PRIORITY = 9;
  private static final int DEFAULT_PRIORITY = 5;
  private static final int CHUNKS_BEFORE_CUT = 2;
  private static final int CONFLICT = 409;
  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;

  private final EngineLimits limits;
  private final LoadedModels models;
  private final BatchLoop loop;
  private final Faults faults;
  private final EngineCounters counters;
  private final RunLog runs;
  private final OpenCalls openCalls;
  private final AtomicReference<@Nullable Call> previous = new AtomicReference<>();

  CompletionHandler(
      EngineLimits limits,
      LoadedModels models,
      BatchLoop loop,
      Faults faults,
      EngineCounters counters,
      RunLog runs,
      OpenCalls openCalls) {
    this.limits = limits;
    this.models = models;
    this.loop = loop;
    this.faults = faults;
    this.counters = counters;
    this.runs = runs;
    this.openCalls = openCalls;
  }

  /** What a caller asked for. */
  private record Call(
      String requestId, String model, String prompt, int offset, int maxTokens, boolean stream) {}

  Mono<Void> handle(HttpServerRequest request, HttpServerResponse response, AnswerFormat format) {
    return openCalls.track(
        () ->
            Exchange.withBody(
                request,
                response,
                CompletionBody.class,
                body -> answer(request, response, format, body)));
  }

  private Mono<Void> answer(
      HttpServerRequest request,
      HttpServerResponse response,
      AnswerFormat format,
      CompletionBody body) {
    Call call = call(request, body);
    response.header(Headers.REQUEST_ID, call.requestId());
    if (!models.serves(call.model())) {
      return refuse(response, NOT_FOUND, "Ask for a loaded model and version.", "model_not_found");
    }
    if (faults.active(FaultKind.LEAVING) || openCalls.leaving()) {
      return refuse(response, UNAVAILABLE, "Ask another engine; this one leaves.", "leaving");
    }
    if (faults.strikes(FaultKind.FULL, call.model(), call.requestId())) {
      return refuse(response, TOO_MANY, "Ask another engine; the queue is full.", "full");
    }
    if (faults.strikes(FaultKind.SILENCE, call.model(), call.requestId())) {
      count(call);
      return Mono.never();
    }
    Call answered = answeredCall(call);
    Job job = job(answered, call, priority(request));
    return loop.submit(job)
        .flatMap(
            taken ->
                taken ? start(request, response, format, call, answered, job) : full(response));
  }

  private Call call(HttpServerRequest request, CompletionBody body) {
    return new Call(
        Exchange.text(request, Headers.REQUEST_ID, "none"),
        body.model() == null ? "" : body.model(),
        body.promptText(),
        Exchange.number(request, Headers.RESUME_OFFSET, 0),
        body.tokensUpTo(limits.maxTokens()),
        body.stream());
  }

  private static int priority(HttpServerRequest request) {
    int priority = Exchange.number(request, Headers.PRIORITY, DEFAULT_PRIORITY);
    return Math.max(0, Math.min(LOWEST_PRIORITY, priority));
  }

  /** Gives the call whose answer is sent: another one if answers are to be crossed. */
  private Call answeredCall(Call call) {
    Call other = previous.getAndSet(call);
    if (!faults.strikes(FaultKind.CROSSED_ANSWERS, call.model(), call.requestId())) {
      return call;
    }
    if (other != null && !other.requestId().equals(call.requestId())) {
      return other;
    }
    return new Call(
        "other-" + call.requestId(), call.model(), "another prompt", 0, call.maxTokens(), true);
  }

  private Job job(Call answered, Call call, int priority) {
    List<String> promptTokens = PromptText.tokens(call.prompt());
    boolean bad = faults.strikes(FaultKind.BAD_ANSWERS, call.model(), call.requestId());
    List<String> answer =
        AnswerText.tokens(
            answered.model(),
            answered.prompt(),
            answered.requestId(),
            limits.minTokens(),
            answered.maxTokens(),
            bad);
    return new Job(
        call.requestId(),
        call.model(),
        priority,
        PromptText.prefixes(call.model(), promptTokens),
        promptTokens.size(),
        answer,
        call.offset());
  }

  private Mono<Void> start(
      HttpServerRequest request,
      HttpServerResponse response,
      AnswerFormat format,
      Call call,
      Call answered,
      Job job) {
    count(call);
    response.header(Headers.REQUEST_ID, answered.requestId());
    faults
        .secondAnswer(call.model(), call.requestId())
        .ifPresent(plan -> Exchange.answerTwice(response, plan));
    Flux<Job.Part> chunks = job.chunks();
    if (faults.strikes(FaultKind.LATE_ANSWERS, call.model(), call.requestId())) {
      Duration delay = faults.delay(FaultKind.LATE_ANSWERS);
      chunks = chunks.delaySubscription(delay);
    }
    boolean cut = faults.strikes(FaultKind.CUT_STREAM, call.model(), call.requestId());
    Mono<Void> sent =
        call.stream()
            ? stream(response, format, answered, job, chunks, cut)
            : whole(response, format, answered, job, chunks, cut);
    return whileConnected(request, job, sent);
  }

  /** Ends the job when the caller closes the connection, also before the first byte is sent. */
  private Mono<Void> whileConnected(HttpServerRequest request, Job job, Mono<Void> sent) {
    AtomicReference<@Nullable Disposable> watch = new AtomicReference<>();
    request.withConnection(
        connection ->
            watch.set(connection.onDispose().subscribe(null, null, () -> loop.abandon(job))));
    return sent.doFinally(
        signal -> {
          Disposable watching = watch.get();
          if (watching != null) {
            watching.dispose();
          }
          loop.abandon(job);
        });
  }

  /** Counts a run; the rest of a cut stream is no second one. */
  private void count(Call call) {
    if (call.offset() > 0) {
      counters.resumed().incrementAndGet();
    } else {
      runs.record(call.requestId());
    }
  }

  private Mono<Void> stream(
      HttpServerResponse response,
      AnswerFormat format,
      Call answered,
      Job job,
      Flux<Job.Part> chunks,
      boolean cut) {
    Flux<String> parts =
        chunks.map(part -> format.chunk(answered.requestId(), answered.model(), part));
    Flux<String> frames =
        cut
            ? parts.take(CHUNKS_BEFORE_CUT).concatWith(Exchange.cut(response))
            : parts.concatWith(Flux.defer(() -> ending(format, answered, job)));
    Flux<String> sent =
        frames.onErrorResume(CancelledException.class, CompletionHandler::cancelledFrame);
    return Exchange.sendEach(response.sse(), sent);
  }

  private Mono<Void> whole(
      HttpServerResponse response,
      AnswerFormat format,
      Call answered,
      Job job,
      Flux<Job.Part> chunks,
      boolean cut) {
    return chunks
        .map(Job.Part::text)
        .collectList()
        .map(texts -> String.join("", texts))
        .flatMap(
            text -> {
              Completion body =
                  format.whole(answered.requestId(), answered.model(), text, usage(job));
              return cut ? Exchange.half(response, body) : Exchange.json(response, 200, body);
            })
        .onErrorResume(
            CancelledException.class,
            error -> Exchange.json(response, CONFLICT, cancelledBody(error)));
  }

  private static Flux<String> ending(AnswerFormat format, Call answered, Job job) {
    String last = format.lastChunk(answered.requestId(), answered.model(), usage(job));
    return Flux.just(last, AnswerFormat.DONE);
  }

  private static Completion.Usage usage(Job job) {
    int total = job.promptTokens() + job.answerTokens();
    return new Completion.Usage(job.promptTokens(), job.answerTokens(), total, job.cachedTokens());
  }

  private static Mono<String> cancelledFrame(CancelledException error) {
    return Mono.just(AnswerFormat.frame(cancelledBody(error)));
  }

  private static ErrorBody cancelledBody(CancelledException error) {
    return ErrorBody.of(String.valueOf(error.getMessage()), "cancelled", "cancelled");
  }

  private Mono<Void> full(HttpServerResponse response) {
    return refuse(response, TOO_MANY, "Ask another engine; the queue is full.", "full");
  }

  private Mono<Void> refuse(HttpServerResponse response, int status, String message, String code) {
    counters.refused().incrementAndGet();
    return Exchange.refuse(response, status, message, code);
  }
}
