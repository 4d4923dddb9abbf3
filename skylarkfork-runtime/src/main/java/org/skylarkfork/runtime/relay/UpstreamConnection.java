package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.relay.AttemptFailure;
import org.tinylog.Logger;

/** One connection to an upstream, which carries one request at a time. */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** Time before the upstream's own idle timeout at which a connection isn't used any more. */
  private static final long IDLE_MARGIN_NANOS = 700_000_000L;

  private static final int MAX_SKIPPED_ANSWERS = 2;

  /** Rest of a connection from which on an upstream may have given it up without a word. */
  private static final long MIN_STALE_IDLE_NANOS = 100_000_000L;

  /** Time in which the reset of such a connection comes back; a few times a way between zones. */
  private static final long RESET_WINDOW_NANOS = 50_000_000L;

  private final UpstreamPool pool;
  private final RelayDialect dialect;
  private @Nullable Channel channel;
  private @Nullable UpstreamAttempt attempt;
  private long idleTimeoutNanos;
  private long idleSince;
  private long idleNanosBeforeSend;
  private long sentAt;
  private boolean requestWritten;
  private boolean reusable = true;
  private boolean connectionFailed;
  private boolean answering;
  private boolean skipping;
  private int skippedAnswers;
  private boolean closeDelimited;

  UpstreamConnection(UpstreamPool pool, RelayDialect dialect, long idleNanos) {
    this.pool = pool;
    this.dialect = dialect;
    this.idleTimeoutNanos = idleNanos;
  }

  UpstreamPool pool() {
    return pool;
  }

  /** Sends a request; its answer goes to the attempt. */
  void send(FullHttpRequest request, UpstreamAttempt sender) {
    attempt = sender;
    sentAt = System.nanoTime();
    idleNanosBeforeSend = idleSince == 0 ? 0 : sentAt - idleSince;
    requestWritten = false;
    answering = false;
    Channel open = openChannel();
    open.writeAndFlush(request).addListener(done -> requestWritten = done.isSuccess());
  }

  private Channel openChannel() {
    if (channel == null) {
      throw new IllegalStateException("the connection is not open yet");
    }
    return channel;
  }

  /** Gives the attempt up, so that the upstream stops working on it. */
  void abandon() {
    attempt = null;
    close();
  }

  void close() {
    reusable = false;
    if (channel != null) {
      channel.close();
    }
  }

  void setReading(boolean more) {
    if (channel != null) {
      channel.config().setAutoRead(more);
    }
  }

  /** Returns whether a request may be sent on this idle connection. */
  boolean isUsable(long now) {
    long longest = Math.min(idleTimeoutNanos, pool.maxIdleNanos(now));
    return channel != null && channel.isActive() && reusable && now - idleSince < longest;
  }

  void markIdle(long now) {
    idleSince = now;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (attempt == null || !(message instanceof HttpObject part)) {
        // Bytes that no request waits for belong to none; the next answer here could be another's.
        close();
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
    UpstreamAttempt waiting = attempt;
    if (waiting == null) {
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skipping = true;
      return;
    }
    String id = dialect.requestIdOf(head);
    boolean foreign = id == null ? dialect.isSigned(head) : !id.equals(waiting.requestId());
    if (foreign) {
      skipForeignAnswer();
      return;
    }
    // An upstream that dies while it writes its head leaves one that looks whole but lacks its end.
    if (head.status().codeClass() == HttpStatusClass.SUCCESS && !dialect.isSigned(head)) {
      fail(AttemptFailure.NOT_AN_ANSWER);
      return;
    }
    answering = true;
    updateKeepAlive(head);
    waiting.onHead(head);
  }

  private void skipForeignAnswer() {
    skipping = true;
    reusable = false;
    skippedAnswers++;
    if (skippedAnswers > MAX_SKIPPED_ANSWERS) {
      fail(AttemptFailure.NOT_AN_ANSWER);
    }
  }

  private void updateKeepAlive(HttpResponse head) {
    if (!HttpUtil.isKeepAlive(head)) {
      reusable = false;
    }
    closeDelimited =
        !HttpUtil.isTransferEncodingChunked(head) && !HttpUtil.isContentLengthSet(head);
    String keepAlive = head.headers().get("Keep-Alive");
    int place = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
    if (keepAlive != null && place >= 0) {
      String digits = keepAlive.substring(place + "timeout=".length()).split("\\D", 2)[0];
      if (!digits.isEmpty() && digits.length() < 6) {
        idleTimeoutNanos = Long.parseLong(digits) * NANOS_PER_SECOND - IDLE_MARGIN_NANOS;
      }
    }
  }

  private void onContent(ByteBuf bytes) {
    UpstreamAttempt waiting = attempt;
    if (!skipping && waiting != null && bytes.isReadable()) {
      waiting.onBytes(bytes);
    }
  }

  private void onEnd() {
    if (skipping) {
      skipping = false;
      return;
    }
    UpstreamAttempt waiting = attempt;
    if (waiting == null) {
      return;
    }
    if (closeDelimited && connectionFailed) {
      fail(AttemptFailure.BROKEN_OFF);
      return;
    }
    attempt = null;
    answering = false;
    // Before the request is written whole, the upstream still waits for its rest on this
    // connection, and would take the next request for it.
    if (reusable && requestWritten && !closeDelimited) {
      pool.release(this);
    } else {
      close();
    }
    waiting.onEnd();
  }

  private void fail(AttemptFailure failure) {
    UpstreamAttempt waiting = attempt;
    attempt = null;
    close();
    if (waiting != null) {
      waiting.onFailure(failure);
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
    connectionFailed = true;
    if (!(cause instanceof IOException)) {
      Logger.warn(cause, "upstream: a connection fails");
    }
    if (attempt != null) {
      fail(attemptFailure());
    }
    context.close();
  }
}
