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
  private boolean passing;
  private long lastBytesAt;
  private int silencesTold;
  private boolean paused;
  private boolean ended;
  private boolean over;

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
  void connected(@Nullable UpstreamConnection made) {
    if (over) {
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
    exchange.sendOn(made, this);
  }

  void onHead(HttpResponse answer) {
    head = answer;
    lastBytesAt = System.nanoTime();
    boolean stream =
        answer.status().code() == HttpResponseStatus.OK.code()
            && startsWith(answer.headers().get(HttpHeaderNames.CONTENT_TYPE), EVENT_STREAM);
    if (stream) {
      events = new EventSplitter(ByteBufAllocator.DEFAULT.buffer());
      began(answer);
    } else {
      body = ByteBufAllocator.DEFAULT.buffer();
    }
  }

  private static boolean startsWith(@Nullable String value, String prefix) {
    return value != null && value.startsWith(prefix);
  }

  private void began(HttpResponse answer) {
    exchange.raise(
        new RelayEvent.AnswerBegan(
            exchange.number(),
            number,
            answer.status().code(),
            dialect.saysNotRun(answer),
            dialect.confidenceOf(answer),
            dialect.rateLimitOf(answer)));
  }

  void onBytes(ByteBuf bytes) {
    lastBytesAt = System.nanoTime();
    silencesTold = 0;
    EventSplitter splitter = events;
    if (splitter != null) {
      splitter.add(bytes);
      passEvents();
    } else if (body != null) {
      body.writeBytes(bytes);
    }
  }

  /** Starts to give the answer to the caller. */
  void pass() {
    passing = true;
    HttpResponse answer = head;
    if (answer == null) {
      return;
    }
    if (events == null) {
      ByteBuf whole = body == null ? Unpooled.EMPTY_BUFFER : body;
      body = null;
      exchange.answerWhole(answer, whole);
      finish();
    } else {
      exchange.beginStream(answer);
      passEvents();
      if (ended) {
        endStream();
      }
    }
  }

  private void passEvents() {
    EventSplitter splitter = events;
    if (!passing || splitter == null) {
      return;
    }
    ByteBuf whole = splitter.whole();
    if (whole != null) {
      exchange.passEvents(whole);
    }
  }

  void onEnd() {
    ended = true;
    connection = null;
    HttpResponse answer = head;
    if (over || answer == null) {
      return;
    }
    if (events == null) {
      began(answer);
    } else if (passing) {
      endStream();
    }
  }

  private void endStream() {
    EventSplitter splitter = events;
    if (splitter != null && splitter.unfinished()) {
      exchange.passEvents(splitter.rest());
    }
    exchange.endStream();
    finish();
  }

  private void finish() {
    if (!over) {
      over = true;
      releaseBuffers();
      exchange.raise(new RelayEvent.AnswerEnded(exchange.number(), number));
    }
  }

  void onFailure(AttemptFailure failure) {
    if (over) {
      return;
    }
    over = true;
    connection = null;
    String last = events == null ? null : events.lastId();
    releaseBuffers();
    exchange.raise(
        new RelayEvent.AttemptFailed(
            exchange.number(), number, failure, exchange.givenUpTo(last, passing)));
  }

  /** Gives the attempt up; no event of it follows. */
  void drop() {
    over = true;
    releaseBuffers();
    if (connection != null) {
      connection.abandon();
      connection = null;
    }
  }

  /** Tells of a stream that has begun and from which nothing has come for too long. */
  void lookForSilence(long now) {
    boolean flows = passing && events != null && !ended && !over && !paused;
    long longest = TimeUnit.MILLISECONDS.toNanos(target.silenceMillis());
    long silent = now - lastBytesAt;
    if (flows && longest > 0 && silent > longest * (silencesTold + 1)) {
      silencesTold++;
      exchange.raise(
          new RelayEvent.AnswerSilent(
              exchange.number(),
              number,
              exchange.givenUpTo(events.lastId(), true),
              TimeUnit.NANOSECONDS.toMillis(silent)));
    }
  }

  void readMore(boolean more) {
    paused = !more;
    lastBytesAt = System.nanoTime();
    if (connection != null) {
      connection.readMore(more);
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
