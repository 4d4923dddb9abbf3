package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.answer.AnswerFraming;
import org.skylarkfork.core.answer.ConnectionEnd;
import org.skylarkfork.core.answer.ConnectionUse;
import org.skylarkfork.core.relay.AttemptFailure;
import org.skylarkfork.runtime.http.AnswerDecoder;
import org.skylarkfork.runtime.http.CarriedRequests;
import org.skylarkfork.runtime.http.InputEndObserver;
import org.skylarkfork.runtime.http.JoinedHeads;
import org.skylarkfork.runtime.http.SecondHeadDetector;
import org.skylarkfork.runtime.limits.IncompleteHead;
import org.skylarkfork.runtime.limits.TooLongAnswerException;
import org.tinylog.Logger;

/** A connection to an upstream, which carries one request at a time. */
final class UpstreamConnection extends ChannelInboundHandlerAdapter
    implements IncompleteHead.Observer {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** Safety margin: a connection isn't reused this long before the upstream's own idle timeout. */
  private static final long IDLE_MARGIN_NANOS = 700_000_000L;

  private static final int MAX_SKIPPED_ANSWERS = 2;

  /** Idle time above which an upstream may have dropped the connection without closing it. */
  private static final long MIN_STALE_IDLE_NANOS = 100_000_000L;

  /**
   * Time within which the reset of a dropped connection arrives, a few times the latency between
   * zones.
   */
  private static final long RESET_WINDOW_NANOS = 50_000_000L;

  private final UpstreamPool pool;
  private final RelayDialect dialect;
  private final InputEndObserver inputEnd;
  private final AnswerDecoder decoder;
  private final long number;
  private final CarriedRequests carried = new CarriedRequests();
  private final UnusedBytesLimit unusedBytes = new UnusedBytesLimit();
  private @Nullable Channel channel;
  private @Nullable UpstreamAttempt attempt;
  private long idleTimeoutNanos;
  private long idleSince;
  private long idleNanosBeforeSend;
  private long sentAt;
  private boolean headRequested;
  private boolean requestWritten;
  private boolean reusable = true;
  private boolean connectionFailed;
  private boolean answering;
  private boolean skipping;
  private int skippedAnswers;
  private boolean sameIdBefore;
  private boolean idleAnswerReported;
  private AnswerFraming framing = AnswerFraming.NO_HEAD;
  private SecondHeadDetector secondHead;

  /**
   * Creates a connection that isn't open yet.
   *
   * @param pool pool of the connection
   * @param dialect mapping of the headers
   * @param inputEnd receives the events of the channel before the decoder of answers
   * @param number number of the connection in its pool, from 1
   * @param idleTimeoutNanos idle timeout if the upstream doesn't state one, in nanoseconds
   */
  UpstreamConnection(
      UpstreamPool pool,
      RelayDialect dialect,
      InputEndObserver inputEnd,
      long number,
      long idleTimeoutNanos) {
    this.inputEnd = inputEnd;
    this.decoder = new AnswerDecoder(HttpDecoderLimits.decoderConfig(), this);
    this.number = number;
    this.pool = pool;
    this.dialect = dialect;
    this.idleTimeoutNanos = idleTimeoutNanos;
    this.secondHead = newSecondHeadDetector();
    decoder.setEndsWithHead(this::answersHeadRequest);
  }

  private SecondHeadDetector newSecondHeadDetector() {
    return new SecondHeadDetector(dialect.requestIdHeader(), this::hasCarried);
  }

  UpstreamPool pool() {
    return pool;
  }

  /** Returns the decoder of this connection's answers. */
  AnswerDecoder decoder() {
    return decoder;
  }

  /** Sends a request, whose answer is delivered to the attempt. */
  void send(FullHttpRequest request, UpstreamAttempt sender) {
    attempt = sender;
    headRequested = request.method().equals(HttpMethod.HEAD);
    sentAt = System.nanoTime();
    idleNanosBeforeSend = idleSince == 0 ? 0 : sentAt - idleSince;
    requestWritten = false;
    answering = false;
    sameIdBefore = carried.contains(sender.requestId());
    carried.add(sender.requestId());
    unusedBytes.restart();
    Channel open = openChannel();
    open.writeAndFlush(request).addListener(this::onWritten);
  }

  /** Closes a connection whose request couldn't be encoded: no answer to it would ever come. */
  private void onWritten(Future<? super Void> written) {
    requestWritten = written.isSuccess();
    Throwable failure = written.cause();
    if (failure != null && !(failure instanceof IOException) && channel != null) {
      Logger.warn(failure, "upstream: a request couldn't be written");
      channel.close();
    }
  }

  private Channel openChannel() {
    if (channel == null) {
      throw new IllegalStateException("the connection is not open yet");
    }
    return channel;
  }

  /** Returns whether this connection has carried a request with the id. */
  boolean hasCarried(@Nullable String id) {
    return id != null && carried.contains(id);
  }

  /** Returns the use of this connection as of the request in progress. */
  ConnectionUse use() {
    return new ConnectionUse(
        number, Math.max(0, carried.count() - 1), sameIdBefore, skippedAnswers);
  }

  /**
   * Abandons the attempt and closes the connection, so that the upstream stops processing the
   * request.
   */
  void abandon() {
    attempt = null;
    close();
  }

  void close() {
    reusable = false;
    if (channel != null) {
      channel.close();
      decoder.discard();
    }
  }

  void setReading(boolean enabled) {
    if (channel != null) {
      channel.config().setAutoRead(enabled);
    }
  }

  /** Returns whether this idle connection may carry another request. */
  boolean isUsable(long now) {
    long maxIdleNanos = Math.min(idleTimeoutNanos, pool.maxIdleNanos(now));
    return channel != null && channel.isActive() && reusable && now - idleSince < maxIdleNanos;
  }

  void markIdle(long now) {
    idleSince = now;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
    channel.pipeline().addFirst(unusedBytes);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (attempt == null || !(message instanceof HttpObject part)) {
        onIdleAnswer(message);
      } else if (part.decoderResult().isFailure()) {
        fail(AttemptFailure.NOT_AN_ANSWER);
      } else {
        onPart(part);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onPart(HttpObject part) {
    if (part instanceof HttpResponse head) {
      onHead(head);
    }
    if (part instanceof HttpContent content) {
      onContent(content.content());
    }
    if (part instanceof LastHttpContent) {
      onEnd();
    }
  }

  private void onHead(HttpResponse head) {
    UpstreamAttempt current = attempt;
    if (current == null) {
      return;
    }
    secondHead = newSecondHeadDetector();
    if (JoinedHeads.isJoined(head, dialect.requestIdHeader())) {
      fail(AttemptFailure.JOINED_HEADS);
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skipping = true;
      return;
    }
    String id = dialect.requestIdOf(head);
    if (id == null && carried.count() > 1) {
      // It may be the late second answer to any earlier request.
      fail(AttemptFailure.UNATTRIBUTED_ANSWER);
      return;
    }
    framing = framingOf(head);
    boolean foreign = id == null ? dialect.isSigned(head) : !id.equals(current.requestId());
    if (foreign) {
      skipForeignAnswer(id);
      return;
    }
    // An upstream that crashes while it writes the head leaves one that looks complete but is cut.
    if (head.status().codeClass() == HttpStatusClass.SUCCESS && !dialect.isSigned(head)) {
      fail(AttemptFailure.UNSIGNED_SUCCESS);
      return;
    }
    answering = true;
    updateKeepAlive(head);
    unusedBytes.restart();
    current.onHead(head, framing);
  }

  @Override
  public void onIncompleteHead(int bytes) {
    UpstreamAttempt current = attempt;
    if (current != null) {
      current.onIncompleteHead(bytes);
    }
  }

  /** Returns whether no request is in progress. */
  boolean isIdle() {
    return attempt == null;
  }

  /** Closes the connection: its next answer could belong to another request. */
  void onIdleBytes() {
    onIdleAnswer(null);
  }

  private void onIdleAnswer(@Nullable Object message) {
    if (reusable && !idleAnswerReported) {
      idleAnswerReported = true;
      String id = message instanceof HttpResponse head ? dialect.requestIdOf(head) : null;
      pool.reportExtraAnswer(true, hasCarried(id), use());
    }
    close();
  }

  private void skipForeignAnswer(@Nullable String id) {
    skipping = true;
    reusable = false;
    skippedAnswers++;
    pool.reportExtraAnswer(false, hasCarried(id), use());
    if (skippedAnswers > MAX_SKIPPED_ANSWERS) {
      fail(AttemptFailure.FOREIGN_ANSWERS);
    }
  }

  private void updateKeepAlive(HttpResponse head) {
    if (!HttpUtil.isKeepAlive(head)) {
      reusable = false;
    }
    String keepAlive = head.headers().get("Keep-Alive");
    int index = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
    if (keepAlive != null && index >= 0) {
      String digits = keepAlive.substring(index + "timeout=".length()).split("\\D", 2)[0];
      if (!digits.isEmpty() && digits.length() < 6) {
        idleTimeoutNanos = Long.parseLong(digits) * NANOS_PER_SECOND - IDLE_MARGIN_NANOS;
      }
    }
  }

  /** Answers to other requests that come late may have a body. */
  private boolean answersHeadRequest(HttpResponse head) {
    String id = dialect.requestIdOf(head);
    UpstreamAttempt current = attempt;
    return headRequested && current != null && (id == null || id.equals(current.requestId()));
  }

  private AnswerFraming framingOf(HttpResponse head) {
    int status = head.status().code();
    if (answersHeadRequest(head)
        || status == HttpResponseStatus.NO_CONTENT.code()
        || status == HttpResponseStatus.NOT_MODIFIED.code()) {
      return AnswerFraming.NO_BODY;
    }
    if (HttpUtil.isTransferEncodingChunked(head)) {
      return AnswerFraming.CHUNKS;
    }
    return HttpUtil.isContentLengthSet(head) ? AnswerFraming.LENGTH : AnswerFraming.CONNECTION;
  }

  private ConnectionEnd connectionEnd() {
    if (inputEnd.isClosedByUpstream()) {
      return ConnectionEnd.CLOSED_BY_UPSTREAM;
    }
    return channel != null && channel.isActive() ? ConnectionEnd.OPEN : ConnectionEnd.LOST;
  }

  private void onContent(ByteBuf bytes) {
    UpstreamAttempt current = attempt;
    if (current == null || !bytes.isReadable()) {
      return;
    }
    int own = secondHead.ownBytes(bytes);
    if (!skipping) {
      unusedBytes.restart();
      boolean isOwn = secondHead.isFound() ? own > 0 : !secondHead.endsInsideHead();
      current.onBytes(bytes.readSlice(own), !isOwn);
    }
    if (secondHead.isFound()) {
      failForSecondAnswer();
    }
  }

  private void failForSecondAnswer() {
    pool.reportExtraAnswer(false, true, use());
    fail(AttemptFailure.SECOND_ANSWER);
  }

  private void onEnd() {
    UpstreamAttempt current = attempt;
    if (current == null) {
      return;
    }
    // An answer that is skipped may be cut, and the awaited one is read as its rest.
    if (endsInsideSecondAnswer()) {
      failForSecondAnswer();
      return;
    }
    if (skipping) {
      skipping = false;
      return;
    }
    final ConnectionEnd end = connectionEnd();
    attempt = null;
    answering = false;
    if (decoder.hasUndecodedBytes()) {
      onIdleBytes();
    } else if (isReleasable()) {
      // The end may lie in the read that paused this connection for a slow caller; the next answer
      // would never be read.
      setReading(true);
      pool.release(this);
    } else {
      close();
    }
    current.onEnd(end);
  }

  /**
   * The end of a length may lie inside the second answer, and so may that of the connection, but
   * not the end of chunks, which is read behind them.
   */
  private boolean endsInsideSecondAnswer() {
    if (framing == AnswerFraming.CHUNKS) {
      return false;
    }
    if (decoder.hasUndecodedBytes()) {
      secondHead.scanBehindBody(decoder.undecodedBytes());
    }
    return secondHead.isFound() || secondHead.endsInsideHead();
  }

  private boolean isReleasable() {
    // Until the request is completely written, the upstream expects the remainder of its body on
    // this connection and would mistake the next request for it.
    return reusable && requestWritten && !carried.isFull() && framing != AnswerFraming.CONNECTION;
  }

  private void fail(AttemptFailure failure) {
    UpstreamAttempt current = attempt;
    final ConnectionEnd end = connectionFailed ? ConnectionEnd.LOST : connectionEnd();
    attempt = null;
    close();
    if (current != null) {
      current.onFailure(failure, end);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      context.close();
    } else {
      context.fireUserEventTriggered(event);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pool.onClosed(this);
    if (attempt != null) {
      fail(attemptFailure());
    }
  }

  private AttemptFailure attemptFailure() {
    if (answering) {
      return AttemptFailure.BROKEN_OFF;
    }
    boolean stale =
        idleNanosBeforeSend > MIN_STALE_IDLE_NANOS
            && System.nanoTime() - sentAt < RESET_WINDOW_NANOS;
    if (!stale) {
      return AttemptFailure.NO_ANSWER;
    }
    pool.recordStale(idleNanosBeforeSend);
    return AttemptFailure.STALE_CONNECTION;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof TooLongAnswerException) {
      fail(AttemptFailure.ANSWER_TOO_LONG);
      return;
    }
    connectionFailed = true;
    if (!(cause instanceof IOException)) {
      Logger.warn(cause, "upstream: connection failed");
    }
    if (attempt != null) {
      fail(attemptFailure());
    }
    context.close();
  }
}
