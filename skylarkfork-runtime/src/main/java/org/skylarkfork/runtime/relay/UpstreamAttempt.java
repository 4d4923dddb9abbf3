package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.relay.AttemptFailure;
import org.skylarkfork.core.relay.AttemptTarget;

/** One attempt of a request at an upstream, and what came of its answer so far. */
final class UpstreamAttempt {

  private static final String EVENT_STREAM = "text/event-stream";

  private final RelayExchange exchange;
  private final int number;
  private final AttemptTarget target;
  private final RelayDialect dialect;
  private @Nullable UpstreamConnection connection;
  private @Nullable HttpResponse head;
  private @Nullable ByteBuf body;
  private @Nullable EventSplitter events;
  private boolean forwarding;
  private long lastBytesAt;
  private int reportedStalls;
  private boolean readingPaused;
  private boolean answerEnded;
  private boolean finished;

  UpstreamAttempt(RelayExchange exchange, int number, AttemptTarget target, RelayDialect dialect) {
    this.exchange = exchange;
    this.number = number;
    this.target = target;
    this.dialect = dialect;
  }

  AttemptTarget target() {
    return target;
  }

  String requestId() {
    return exchange.requestId();
  }

  /** Takes the connection, or null if there is none; an attempt given up meanwhile returns it. */
  void onConnection(@Nullable UpstreamConnection made) {
    if (finished) {
      if (made != null) {
        made.pool().release(made);
      }
      return;
    }
    if (made == null) {
      onFailure(AttemptFailure.NOT_SENT);
      return;
    }
    connection = made;
    exchange.sendOver(made, this);
  }

  void onHead(HttpResponse answer) {
    head = answer;
    lastBytesAt = System.nanoTime();
    boolean stream =
        answer.status().code() == HttpResponseStatus.OK.code()
            && startsWith(answer.headers().get(HttpHeaderNames.CONTENT_TYPE), EVENT_STREAM);
    if (stream) {
      events = new EventSplitter(ByteBufAllocator.DEFAULT.buffer());
      reportAnswerBegan(answer);
    } else {
      body = ByteBufAllocator.DEFAULT.buffer();
    }
  }

  private static boolean startsWith(@Nullable String value, String prefix) {
    return value != null && value.startsWith(prefix);
  }

  private void reportAnswerBegan(HttpResponse answer) {
    exchange.submit(
        new RelayEvent.AnswerBegan(
            exchange.number(),
            number,
            answer.status().code(),
            dialect.reportsNotRun(answer),
            dialect.confidenceOf(answer),
            dialect.rateLimitOf(answer)));
  }

  void onBytes(ByteBuf bytes) {
    lastBytesAt = System.nanoTime();
    reportedStalls = 0;
    EventSplitter splitter = events;
    if (splitter != null) {
      splitter.add(bytes);
      forwardEvents();
    } else if (body != null) {
      body.writeBytes(bytes);
    }
  }

  /** Starts to give the answer to the caller. */
  void forward() {
    forwarding = true;
    HttpResponse answer = head;
    if (answer == null) {
      return;
    }
    if (events == null) {
      ByteBuf whole = body == null ? Unpooled.EMPTY_BUFFER : body;
      body = null;
      exchange.sendResponse(answer, whole);
      finish();
    } else {
      exchange.startStream(answer);
      forwardEvents();
      if (answerEnded) {
        endStream();
      }
    }
  }

  private void forwardEvents() {
    EventSplitter splitter = events;
    if (!forwarding || splitter == null) {
      return;
    }
    ByteBuf whole = splitter.takeWholeEvents();
    if (whole != null) {
      exchange.forwardEvents(whole);
    }
  }

  void onEnd() {
    answerEnded = true;
    connection = null;
    HttpResponse answer = head;
    if (finished || answer == null) {
      return;
    }
    if (events == null) {
      reportAnswerBegan(answer);
    } else if (forwarding) {
      endStream();
    }
  }

  private void endStream() {
    EventSplitter splitter = events;
    if (splitter != null && splitter.hasPartialEvent()) {
      exchange.forwardEvents(splitter.takeRemainder());
    }
    exchange.endStream();
    finish();
  }

  private void finish() {
    if (!finished) {
      finished = true;
      releaseBuffers();
      exchange.submit(new RelayEvent.AnswerEnded(exchange.number(), number));
    }
  }

  void onFailure(AttemptFailure failure) {
    if (finished) {
      return;
    }
    finished = true;
    connection = null;
    String last = events == null ? null : events.lastId();
    releaseBuffers();
    exchange.submit(
        new RelayEvent.AttemptFailed(
            exchange.number(), number, failure, exchange.lastForwardedEventId(last, forwarding)));
  }

  /** Gives the attempt up; no event of it follows. */
  void abandon() {
    finished = true;
    releaseBuffers();
    if (connection != null) {
      connection.abandon();
      connection = null;
    }
  }

  /** Tells of a stream that has begun and from which nothing has come for too long. */
  void checkForStall(long now) {
    boolean flows = forwarding && events != null && !answerEnded && !finished && !readingPaused;
    long longest = TimeUnit.MILLISECONDS.toNanos(target.silenceMillis());
    long silent = now - lastBytesAt;
    if (flows && longest > 0 && silent > longest * (reportedStalls + 1)) {
      reportedStalls++;
      exchange.submit(
          new RelayEvent.AnswerSilent(
              exchange.number(),
              number,
              exchange.lastForwardedEventId(events.lastId(), true),
              TimeUnit.NANOSECONDS.toMillis(silent)));
    }
  }

  void setReading(boolean more) {
    readingPaused = !more;
    lastBytesAt = System.nanoTime();
    if (connection != null) {
      connection.setReading(more);
    }
  }

  private void releaseBuffers() {
    if (body != null) {
      body.release();
      body = null;
    }
    if (events != null) {
      events.release();
      events = null;
    }
  }
}
