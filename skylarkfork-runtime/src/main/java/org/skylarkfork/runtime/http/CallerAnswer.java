package org.skylarkfork.runtime.http;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.request.AnswerMetadata;
import org.skylarkfork.core.request.CallerRequest;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** One caller's answer on its way from the reducer to the connection. */
final class CallerAnswer {

  /**
   * Most characters that may wait for a slow caller. A caller that reads slower than the engine
   * writes would otherwise grow the daemon's memory without end; past the bound it is dropped.
   */
  static final long MAX_WAITING_CHARACTERS = 4L * 1024 * 1024;

  private final CallerRequest request;
  private final Instant created;
  private final CompletableFuture<CallerEffect> head = new CompletableFuture<>();
  private final Sinks.Many<String> frames = Sinks.many().unicast().onBackpressureBuffer();
  private final AtomicLong waiting = new AtomicLong();
  private volatile Runnable drop = () -> {};
  private @Nullable AnswerMetadata facts;
  private volatile boolean cut;
  private boolean ended;

  CallerAnswer(CallerRequest request, Instant created) {
    this.request = request;
    this.created = created;
  }

  CallerRequest request() {
    return request;
  }

  Instant created() {
    return created;
  }

  /** Completes with the effect that decides status and headers. */
  CompletableFuture<CallerEffect> head() {
    return head;
  }

  /** Notes the facts of a stream that begins. */
  void begin(CallerEffect.BeginStream effect) {
    facts = effect.facts();
    head.complete(effect);
  }

  /** Returns the facts told at the stream's begin. */
  AnswerMetadata facts() {
    if (facts == null) {
      throw new IllegalStateException("no stream was begun for " + request.requestId());
    }
    return facts;
  }

  /**
   * Adds a frame.
   *
   * @return false if the caller reads too slowly and is to be dropped
   */
  boolean add(String frame) {
    if (ended) {
      return true;
    }
    if (waiting.addAndGet(frame.length()) > MAX_WAITING_CHARACTERS) {
      ended = true;
      frames.tryEmitError(new SlowCallerException(request.requestId()));
      drop.run();
      return false;
    }
    frames.tryEmitNext(frame);
    return true;
  }

  /**
   * Takes what closes the connection. A caller that has stopped to read never comes to the error
   * behind the waiting frames, and the engine would work on for it until its own end.
   */
  void onDrop(Runnable close) {
    drop = close;
  }

  /** Ends the stream. */
  void end() {
    ended = true;
    frames.tryEmitComplete();
  }

  /** Returns the frames in order, for one subscriber. */
  Flux<String> frames() {
    cut = true;
    return frames
        .asFlux()
        .doOnNext(frame -> waiting.addAndGet(-frame.length()))
        .doOnComplete(() -> cut = false);
  }

  /** Returns whether a stream was begun and its last frame not yet handed to the connection. */
  boolean isCut() {
    return cut;
  }

  /** Tells that a caller read its answer too slowly. */
  static final class SlowCallerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SlowCallerException(String requestId) {
      super("the caller of " + requestId + " read too slowly", null, false, false);
    }
  }
}
