package org.skylarkfork.runtime.http;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.request.AnswerMetadata;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.runtime.limits.RequestBuffers;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** One caller's answer on its way from the reducer to the connection. */
final class CallerAnswer implements RequestBuffers.Holder {

  /**
   * Most characters that may wait for a slow caller. A caller that reads slower than the engine
   * writes would otherwise grow the daemon's memory without end; past the bound it is dropped.
   */
  static final long MAX_WAITING_CHARACTERS = 4L * 1024 * 1024;

  private final CallerRequest request;
  private final Instant created;
  private final RequestBuffers unread;
  private final CompletableFuture<CallerEffect> head = new CompletableFuture<>();
  private final Sinks.Many<String> frames = Sinks.many().unicast().onBackpressureBuffer();
  private final AtomicLong waiting = new AtomicLong();
  private volatile Runnable drop = () -> {};
  private @Nullable AnswerMetadata facts;
  private volatile boolean cut;
  private boolean ended;

  /**
   * Makes an answer.
   *
   * @param request the caller's request
   * @param created when it was received
   * @param unread limits on the frames that wait for all slow callers together
   */
  CallerAnswer(CallerRequest request, Instant created, RequestBuffers unread) {
    this.request = request;
    this.created = created;
    this.unread = unread;
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
    long characters = waiting.addAndGet(frame.length());
    if (characters > MAX_WAITING_CHARACTERS) {
      refuse();
      return false;
    }
    unread.resize(this, (int) characters);
    if (!ended) {
      frames.tryEmitNext(frame);
    }
    return !ended;
  }

  /** Drops the caller, which reads too slowly. */
  @Override
  public void refuse() {
    ended = true;
    unread.remove(this);
    frames.tryEmitError(new SlowCallerException(request.requestId()));
    drop.run();
  }

  /** Records that the answer has ended or its caller has left. */
  void release() {
    unread.remove(this);
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
