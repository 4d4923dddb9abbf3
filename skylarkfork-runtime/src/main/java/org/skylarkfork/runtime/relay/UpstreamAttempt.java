package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.internal.OutOfDirectMemoryError;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.answer.AnswerFraming;
import org.skylarkfork.core.answer.ConnectionEnd;
import org.skylarkfork.core.answer.ConnectionUse;
import org.skylarkfork.core.answer.ReceivedAnswer;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.relay.AttemptFailure;
import org.skylarkfork.core.relay.AttemptTarget;
import org.skylarkfork.core.relay.UpstreamNotice;
import org.skylarkfork.runtime.limits.AnswerBuffers;
import org.skylarkfork.runtime.limits.HeadSize;
import org.tinylog.Logger;

/** An attempt of a request at an upstream, with the part of the answer that was received. */
final class UpstreamAttempt implements UpstreamPool.ConnectionReceiver, AnswerBuffers.Holder {

  private static final String EVENT_STREAM = "text/event-stream";

  private final RelayExchange exchange;
  private final int number;
  private final AttemptTarget target;
  private final RelayDialect dialect;
  private final AnswerBuffers buffers;
  private final AnswerBuffers heads;
  private @Nullable UpstreamConnection connection;
  private @Nullable HttpResponse head;
  private @Nullable ByteBuf body;
  private @Nullable EventSplitter events;
  private int headBytes;
  private int incompleteHeadBytes;
  private AnswerFraming framing = AnswerFraming.NO_HEAD;
  private long receivedBytes;
  private ConnectionEnd connectionEnd = ConnectionEnd.OPEN;
  private ConnectionUse use = ConnectionUse.NONE;
  private boolean sending;
  private boolean forwarding;
  private long lastBytesAt;
  private int reportedStalls;
  private boolean readingPaused;
  private boolean holdsEvents;
  private boolean answerEnded;
  private boolean finished;

  UpstreamAttempt(
      RelayExchange exchange,
      int number,
      AttemptTarget target,
      RelayDialect dialect,
      AnswerMemory memory) {
    this.exchange = exchange;
    this.number = number;
    this.target = target;
    this.dialect = dialect;
    this.buffers = memory.bodies();
    this.heads = memory.heads();
  }

  int number() {
    return number;
  }

  String requestId() {
    return exchange.requestId();
  }

  /**
   * Sends the request on the connection, which is null if none could be opened; an attempt that was
   * abandoned in the meantime releases the connection.
   */
  @Override
  public void receive(@Nullable UpstreamConnection opened) {
    if (finished) {
      if (opened != null) {
        opened.pool().release(opened);
      }
      return;
    }
    if (opened == null) {
      onFailure(AttemptFailure.NOT_SENT);
      return;
    }
    sendOver(opened);
  }

  /** Sends the request; a request that can't be built leaves the connection to others. */
  private void sendOver(UpstreamConnection opened) {
    FullHttpRequest request;
    try {
      request = exchange.requestFor(target);
    } catch (RuntimeException | LinkageError | OutOfDirectMemoryError failure) {
      Logger.warn(failure, "upstream: event=request_not_built id={}", exchange.requestId());
      opened.pool().release(opened);
      onFailure(AttemptFailure.UNSENDABLE);
      return;
    }
    connection = opened;
    sending = true;
    opened.send(request, this);
  }

  /** Ends the attempt after a failure of this process while it started. */
  void failToStart() {
    UpstreamConnection open = connection;
    if (open != null) {
      open.abandon();
    }
    onFailure(sending ? AttemptFailure.NO_ANSWER : AttemptFailure.UNSENDABLE);
  }

  @Override
  public void notForwarded() {
    onFailure(AttemptFailure.NOT_FORWARDED);
  }

  @Override
  public void forwardRejected() {
    onFailure(AttemptFailure.FORWARD_REJECTED);
  }

  @Override
  public void recalled() {
    onFailure(AttemptFailure.RECALLED);
  }

  /**
   * Records the heap of a head or of trailers that are being received.
   *
   * @param bytes the size, in bytes; 0 if nothing is incomplete
   */
  void onIncompleteHead(int bytes) {
    incompleteHeadBytes = bytes;
    recordHeads();
  }

  private void recordHeads() {
    if (!finished) {
      heads.resize(this, headBytes + incompleteHeadBytes);
    }
  }

  void onHead(HttpResponse answer, AnswerFraming answerFraming) {
    headBytes = HeadSize.of(answer);
    recordHeads();
    if (finished) {
      return;
    }
    head = answer;
    framing = answerFraming;
    recordUse();
    lastBytesAt = System.nanoTime();
    reportNotice(answer);
    boolean stream =
        framing != AnswerFraming.NO_BODY
            && answer.status().code() == HttpResponseStatus.OK.code()
            && startsWith(answer.headers().get(HttpHeaderNames.CONTENT_TYPE), EVENT_STREAM);
    if (stream) {
      events = new EventSplitter(ByteBufAllocator.DEFAULT.buffer(), exchange.isStreamStarted());
      reportAnswerBegan(answer);
    } else {
      body = ByteBufAllocator.DEFAULT.buffer();
    }
  }

  /** Records the use now, since the connection may carry the next request when the answer ends. */
  private void recordUse() {
    if (connection != null) {
      use = connection.use();
    }
  }

  /**
   * Reports a notice before the rest of the answer is read: the connection is reused as soon as the
   * answer ends, and would carry the next request to an upstream that asked for none.
   */
  private void reportNotice(HttpResponse answer) {
    UpstreamNotice notice = dialect.noticeOf(answer, exchange.now());
    if (!notice.isNone()) {
      int status = answer.status().code();
      exchange.submit(new RelayEvent.NoticeReceived(exchange.number(), number, status, notice));
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
            dialect.rateLimitOf(answer),
            use));
  }

  /**
   * Appends bytes of the body.
   *
   * @param bytes the bytes
   * @param mayBeOthers whether the newest bytes may belong to another answer, so that no event is
   *     forwarded until more is known
   */
  void onBytes(ByteBuf bytes, boolean mayBeOthers) {
    holdsEvents = mayBeOthers;
    lastBytesAt = System.nanoTime();
    reportedStalls = 0;
    receivedBytes += bytes.readableBytes();
    EventSplitter splitter = events;
    if (splitter != null) {
      splitter.add(bytes);
      forwardEvents();
    } else if (body != null) {
      body.writeBytes(bytes);
    }
    recordBuffered();
  }

  private void recordBuffered() {
    EventSplitter splitter = events;
    if (splitter != null) {
      buffers.resize(this, splitter.bufferBytes());
    } else if (body != null) {
      buffers.resize(this, body.capacity());
    }
  }

  @Override
  public void giveUp() {
    UpstreamConnection open = connection;
    if (open != null) {
      open.abandon();
    }
    onFailure(AttemptFailure.BUFFERS_FULL);
  }

  /** Starts forwarding the answer to the caller, unless the attempt has failed in the meantime. */
  void forward() {
    if (finished) {
      return;
    }
    forwarding = true;
    HttpResponse answer = head;
    if (answer == null) {
      return;
    }
    if (events == null && exchange.isStreamStarted()) {
      // The caller has the head of a stream already, behind which no other head can be sent.
      onFailure(AttemptFailure.NOT_AN_ANSWER);
    } else if (events == null) {
      ByteBuf whole = body == null ? Unpooled.EMPTY_BUFFER : body;
      body = null;
      // From here on the caller's connection counts the bytes that it hasn't written.
      buffers.remove(this);
      exchange.sendResponse(answer, whole);
      finish();
    } else {
      exchange.startStream(answer);
      forwardEvents();
      recordBuffered();
      if (answerEnded) {
        endStream();
      }
    }
  }

  private void forwardEvents() {
    EventSplitter splitter = events;
    if (!forwarding || splitter == null || holdsEvents) {
      return;
    }
    ByteBuf whole = splitter.takeWholeEvents();
    if (whole != null) {
      exchange.forwardEvents(whole, splitter.position());
    }
  }

  void onEnd(ConnectionEnd end) {
    answerEnded = true;
    connectionEnd = end;
    connection = null;
    HttpResponse answer = head;
    if (finished || answer == null) {
      return;
    }
    if (!received().isWhole()) {
      onFailure(AttemptFailure.BROKEN_OFF);
    } else if (events == null) {
      reportAnswerBegan(answer);
    } else if (forwarding) {
      endStream();
    }
  }

  private void endStream() {
    holdsEvents = false;
    forwardEvents();
    exchange.endStream();
    finish();
  }

  private void finish() {
    if (!finished) {
      final ReceivedAnswer answer = received();
      finished = true;
      releaseBuffers();
      exchange.submit(new RelayEvent.AnswerEnded(exchange.number(), number, answer));
    }
  }

  private ReceivedAnswer received() {
    EventSplitter splitter = events;
    return new ReceivedAnswer(
        framing,
        answerEnded,
        receivedBytes,
        splitter == null ? 0 : splitter.events(),
        splitter == null ? 0 : splitter.unfinishedBytes(),
        connectionEnd,
        use);
  }

  /** Ends the attempt, whose answer is not complete. */
  void onFailure(AttemptFailure failure, ConnectionEnd end) {
    connectionEnd = end;
    recordUse();
    onFailure(failure);
  }

  private void onFailure(AttemptFailure failure) {
    if (finished) {
      return;
    }
    final ReceivedAnswer answer = received();
    finished = true;
    connection = null;
    releaseBuffers();
    exchange.submit(
        new RelayEvent.AttemptFailed(
            exchange.number(), number, failure, exchange.forwardedEvents(), answer));
  }

  /** Abandons the attempt, which raises no further events. */
  void abandon() {
    finished = true;
    releaseBuffers();
    if (connection != null) {
      connection.abandon();
      connection = null;
    }
  }

  /**
   * Reports a stream that has stalled: it was started, and no bytes arrived for a multiple of the
   * timeout.
   */
  void checkForStall(long now) {
    boolean streaming = forwarding && events != null && !answerEnded && !finished && !readingPaused;
    long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(target.silenceMillis());
    long silentNanos = now - lastBytesAt;
    if (streaming && timeoutNanos > 0 && silentNanos > timeoutNanos * (reportedStalls + 1)) {
      reportedStalls++;
      exchange.submit(
          new RelayEvent.AnswerSilent(
              exchange.number(),
              number,
              exchange.forwardedEvents(),
              TimeUnit.NANOSECONDS.toMillis(silentNanos)));
    }
  }

  void setReading(boolean enabled) {
    readingPaused = !enabled;
    lastBytesAt = System.nanoTime();
    if (connection != null) {
      connection.setReading(enabled);
    }
  }

  private void releaseBuffers() {
    buffers.remove(this);
    heads.remove(this);
    head = null;
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
