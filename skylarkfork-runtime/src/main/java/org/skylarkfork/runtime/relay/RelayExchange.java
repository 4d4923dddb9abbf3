package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.answer.ForwardedEvents;
import org.skylarkfork.core.answer.ReceivedAnswer;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.relay.AttemptFailure;
import org.skylarkfork.core.relay.AttemptTarget;
import org.skylarkfork.core.relay.Refusal;
import org.skylarkfork.runtime.loop.EventLoopReducer;

/** A caller's request with its body, and the state of its answer. */
final class RelayExchange {

  private static final long MILLIS_PER_SECOND = 1000;

  private final long number;
  private final HttpRequest head;
  private final ByteBuf body;
  private final CallerConnection caller;
  private final RelayDialect dialect;
  private final UpstreamPools pools;
  private final AnswerMemory answerMemory;
  private final EventLoopReducer loop;
  private final String requestId;
  private @Nullable UpstreamAttempt attempt;
  private Instant sentAt = Instant.EPOCH;
  private boolean streamStarted;
  private boolean completed;
  private ForwardedEvents forwardedEvents = ForwardedEvents.NONE;

  RelayExchange(
      long number,
      HttpRequest head,
      ByteBuf body,
      CallerConnection caller,
      RelayDialect dialect,
      UpstreamPools pools,
      AnswerMemory answerMemory,
      EventLoopReducer loop) {
    this.number = number;
    this.head = head;
    this.body = body;
    this.caller = caller;
    this.dialect = dialect;
    this.pools = pools;
    this.answerMemory = answerMemory;
    this.loop = loop;
    this.requestId = head.headers().get(dialect.requestIdHeader(), "");
  }

  long number() {
    return number;
  }

  String requestId() {
    return requestId;
  }

  /**
   * Returns whether the answer is complete or the caller has left, so that the body is released.
   */
  boolean isCompleted() {
    return completed;
  }

  /** Returns the present time. */
  Instant now() {
    return loop.now();
  }

  void submit(RelayEvent event) {
    loop.submit(event);
  }

  /**
   * Starts an attempt, which sends the request as soon as a connection to the upstream is
   * available.
   */
  void startAttempt(int attemptNumber, AttemptTarget target) {
    UpstreamAttempt startedAttempt =
        new UpstreamAttempt(this, attemptNumber, target, dialect, answerMemory);
    attempt = startedAttempt;
    sentAt = loop.now();
    pools
        .pool(target.upstream(), target.forwarder())
        .acquire(requestId, target.fresh(), target.maxConnections(), startedAttempt);
  }

  /** Returns the request as it is sent to an attempt's upstream. */
  FullHttpRequest requestFor(AttemptTarget target) {
    HttpHeaders headers = head.headers().copy();
    ConnectionHeaders.remove(headers);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (body.isReadable() || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    long waitedMillis = Duration.between(sentAt, loop.now()).toMillis();
    long leftMillis = Math.max(1, target.leftMillis() - waitedMillis);
    dialect.rewriteForUpstream(headers, target, leftMillis);
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            head.method(),
            head.uri(),
            body.duplicate(),
            headers,
            EmptyHttpHeaders.INSTANCE);
    body.retain();
    return request;
  }

  /** Reports an attempt that couldn't be started, or that failed as it was. */
  void failAttempt(int attemptNumber) {
    UpstreamAttempt failed = attempt;
    if (failed != null && failed.number() == attemptNumber) {
      failed.failToStart();
    } else {
      submit(
          new RelayEvent.AttemptFailed(
              number,
              attemptNumber,
              AttemptFailure.UNSENDABLE,
              forwardedEvents,
              ReceivedAnswer.NOTHING));
    }
  }

  void forwardAnswer() {
    if (attempt != null) {
      attempt.forward();
    }
  }

  void abandonAttempt() {
    if (attempt != null) {
      attempt.abandon();
      attempt = null;
    }
  }

  void sendResponse(HttpResponse answer, ByteBuf content) {
    if (completed) {
      content.release();
      return;
    }
    HttpHeaders headers = answer.headers().copy();
    ConnectionHeaders.remove(headers);
    if (!head.method().equals(HttpMethod.HEAD)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    }
    complete(
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, answer.status(), content, headers, EmptyHttpHeaders.INSTANCE));
  }

  /** Starts a stream of events, unless an earlier attempt has started it. */
  void startStream(HttpResponse answer) {
    if (streamStarted || completed) {
      return;
    }
    streamStarted = true;
    HttpHeaders headers = answer.headers().copy();
    ConnectionHeaders.remove(headers);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    caller.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, answer.status(), headers), this);
  }

  /** Returns whether a stream of events was started, by this attempt or an earlier one. */
  boolean isStreamStarted() {
    return streamStarted;
  }

  /**
   * Forwards whole events.
   *
   * @param events the events, which are released
   * @param position where another run could go on after them
   */
  void forwardEvents(ByteBuf events, ForwardedEvents position) {
    if (completed) {
      events.release();
    } else {
      forwardedEvents = position.equals(ForwardedEvents.NONE) ? forwardedEvents : position;
      caller.write(new DefaultHttpContent(events), this);
    }
  }

  void endStream() {
    if (!completed) {
      completed = true;
      body.release();
      caller.finish(LastHttpContent.EMPTY_LAST_CONTENT, this);
    }
  }

  /** Returns the events that were forwarded to the caller, also of earlier attempts. */
  ForwardedEvents forwardedEvents() {
    return forwardedEvents;
  }

  /** Completes the request with an answer that the entry generates. */
  void refuse(Refusal refusal, long retryAfterMillis) {
    if (completed) {
      return;
    }
    DefaultFullHttpResponse answer =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status(refusal), Unpooled.EMPTY_BUFFER);
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    if (!requestId.isEmpty()) {
      answer.headers().set(dialect.requestIdHeader(), requestId);
    }
    if (retryAfterMillis > 0) {
      String seconds =
          String.format(Locale.ROOT, "%.3f", (double) retryAfterMillis / MILLIS_PER_SECOND);
      answer.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
    }
    complete(answer);
  }

  private static HttpResponseStatus status(Refusal refusal) {
    return switch (refusal) {
      case UNKNOWN_KEY -> HttpResponseStatus.UNAUTHORIZED;
      case NO_ROUTE -> HttpResponseStatus.NOT_FOUND;
      // Not retryable: a caller that received a retryable status would send the request again.
      case QUARANTINED -> HttpResponseStatus.BAD_REQUEST;
      case NOT_SERVING, STOPPING, NO_UPSTREAM, OVERLOADED, TOO_LATE ->
          HttpResponseStatus.SERVICE_UNAVAILABLE;
      case OUTCOME_UNKNOWN -> HttpResponseStatus.BAD_GATEWAY;
      case TIME_OUT -> HttpResponseStatus.GATEWAY_TIMEOUT;
    };
  }

  private void complete(DefaultFullHttpResponse answer) {
    completed = true;
    body.release();
    caller.finish(answer, this);
  }

  /** Aborts the answer by closing the caller's connection. */
  void abort() {
    if (!completed) {
      completed = true;
      body.release();
      caller.abort(this);
    }
  }

  /** Aborts the answer, as if the caller had closed its connection. */
  void abortAsDisconnected() {
    if (!completed) {
      abort();
      submit(new RelayEvent.CallerLeft(number));
    }
  }

  /** Completes the request after the caller closed its connection. */
  void onCallerDisconnected() {
    if (!completed) {
      completed = true;
      body.release();
      submit(new RelayEvent.CallerLeft(number));
    }
  }

  /** Checks whether the upstream's stream has stalled. */
  void checkForStall(long now) {
    if (attempt != null) {
      attempt.checkForStall(now);
    }
  }

  void onCallerWritabilityChanged(boolean writable) {
    if (attempt != null) {
      attempt.setReading(writable);
    }
  }
}
