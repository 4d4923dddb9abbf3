package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.relay.RelayLimits;
import org.skylarkfork.runtime.limits.ConnectionLimit;
import org.skylarkfork.runtime.limits.HeadSize;
import org.skylarkfork.runtime.limits.IncompleteHead;
import org.skylarkfork.runtime.limits.RequestBuffers;
import org.tinylog.Logger;

/** A caller's connection, on which requests are served one after the other. */
final class CallerConnection extends ChannelInboundHandlerAdapter
    implements RequestBuffers.Holder, IncompleteHead.Observer, ConnectionLimit.Connection {

  /** Time in which requests are usually received and answered, in seconds. */
  private static final String RETRY_AFTER = "1.000";

  /** Maximum number of characters of a request's id in a log line. */
  private static final int MAX_LOGGED_ID = 128;

  /** Time in which a caller can read why its request was rejected. */
  private static final long LINGER_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final RelayCallerServer server;
  private final PipelinedParts pipelined;
  private final UnreadAnswer unread;
  private final ReceiptTime receipt = new ReceiptTime();
  private final RequestBuffers.Holder headHolder = this::refuseForHead;
  private @Nullable ChannelHandlerContext context;
  private @Nullable HttpRequest head;
  private int headBytes;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private @Nullable RelayExchange exchange;
  private boolean keepAlive;
  private long bytesToSkip;
  private boolean closing;
  private boolean endsWithConnection;
  private boolean idle = true;
  private boolean carriedRequest;
  private long closeAt;
  private long idleSince = System.nanoTime();

  CallerConnection(RelayCallerServer server) {
    this.server = server;
    this.pipelined = new PipelinedParts(server.requestHeads(), this::removeDecoder);
    this.unread = new UnreadAnswer(server.answerBuffers(), this::closeUnread);
  }

  @Override
  public void channelActive(ChannelHandlerContext opened) {
    context = opened;
    server.onOpened(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (closing || !(message instanceof HttpObject part)) {
      skip(message);
    } else if (exchange != null || unread.isPending()) {
      pipelined.add(part);
    } else {
      process(part);
    }
  }

  @Override
  public void onIncompleteHead(int bytes) {
    if (exchange != null || unread.isPending()) {
      pipelined.setIncomplete(bytes);
    } else if (!closing) {
      receipt.onIncompleteHead(bytes, System.nanoTime());
      server.requestHeads().resize(headHolder, headBytes + bytes);
    }
  }

  /** Releases what was received, and closes the connection at the end of a refused request. */
  private void skip(Object message) {
    if (message instanceof ByteBuf bytes && bytesToSkip > 0) {
      skipRefused(bytes.readableBytes());
    }
    ReferenceCountUtil.release(message);
  }

  private void skipRefused(int bytes) {
    bytesToSkip -= bytes;
    if (bytesToSkip <= 0) {
      channel().close();
    }
  }

  private void process(HttpObject part) {
    try {
      if (part.decoderResult().isFailure()) {
        reject(EarlyAnswers.statusOf(part.decoderResult().cause()));
        return;
      }
      if (part instanceof HttpRequest request) {
        processHead(request);
      }
      if (part instanceof HttpContent content && head != null) {
        processContent(content);
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void processHead(HttpRequest request) {
    idle = false;
    receipt.onHead(System.nanoTime());
    if (hasAmbiguousLength(request)) {
      reject(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    head = request;
    keepAlive = HttpUtil.isKeepAlive(request);
    headBytes = HeadSize.of(request);
    server.requestHeads().resize(headHolder, headBytes);
    if (head != null && HttpUtil.is100ContinueExpected(request)) {
      channel().writeAndFlush(EarlyAnswers.goOn());
    }
  }

  /**
   * Returns whether two HTTP implementations could disagree on the end of the body.
   *
   * <p>One of them would treat a part of the body as a further request, which would run with this
   * caller's identity (request smuggling).
   */
  private static boolean hasAmbiguousLength(HttpRequest request) {
    int lengths = request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size();
    int encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).size();
    boolean unknownEncoding = encodings > 0 && !HttpUtil.isTransferEncodingChunked(request);
    return lengths > 1 || encodings > 1 || lengths > 0 && encodings > 0 || unknownEncoding;
  }

  private void processContent(HttpContent content) {
    int bytes = body.readableBytes() + content.content().readableBytes();
    if (bytes > server.maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    server.requestBuffers().resize(this, bytes);
    if (head == null) {
      skipRefused(content.content().readableBytes());
      return;
    }
    append(content.content());
    if (content instanceof LastHttpContent) {
      startRequest(head);
    }
  }

  /**
   * Copies bytes of the body: kept as they are, each byte could keep the whole buffer of a read.
   */
  private void append(ByteBuf bytes) {
    if (!bytes.isReadable()) {
      return;
    }
    receipt.onBody(System.nanoTime());
    if (body.capacity() == 0) {
      body = ByteBufAllocator.DEFAULT.buffer(bytes.readableBytes());
    }
    body.writeBytes(bytes);
  }

  private void startRequest(HttpRequest request) {
    final ByteBuf complete = body;
    server.requestBuffers().complete(this);
    server.requestHeads().complete(headHolder);
    receipt.end();
    carriedRequest = true;
    head = null;
    headBytes = 0;
    body = Unpooled.EMPTY_BUFFER;
    exchange = server.startRequest(request, complete, this);
  }

  /**
   * Rejects a malformed request and closes the connection, since the end of the request isn't
   * known.
   */
  void reject(HttpResponseStatus status) {
    answerAndDrop(status, null);
    closeAt = System.nanoTime() + LINGER_NANOS;
  }

  /** Rejects a request that was received completely, and closes the connection. */
  void rejectReceived(HttpResponseStatus status) {
    closing = true;
    release();
    channel().writeAndFlush(answer(status, null)).addListener(ChannelFutureListener.CLOSE);
  }

  /** Refuses the request while its body is being received. */
  @Override
  public void refuse() {
    logRefusal("body_refused", body.readableBytes(), server.requestBuffers());
    answerAndDrop(HttpResponseStatus.SERVICE_UNAVAILABLE, RETRY_AFTER);
  }

  /** Refuses the request while it is being received, since all heads take too much heap. */
  private void refuseForHead() {
    logRefusal("head_refused", headBytes, server.requestHeads());
    answerAndDrop(HttpResponseStatus.SERVICE_UNAVAILABLE, RETRY_AFTER);
  }

  private void logRefusal(String event, int bytes, RequestBuffers buffers) {
    String id = requestId();
    Logger.info(
        "caller: event={} id={} bytes={} held={}",
        event,
        id.substring(0, Math.min(MAX_LOGGED_ID, id.length())),
        bytes,
        buffers.totalBytes());
  }

  /**
   * Answers a request that is incomplete, and that doesn't run.
   *
   * <p>The rest of it is read and dropped: a connection that is closed before is reset, and the
   * caller would lose the answer, which says that the request hasn't run.
   */
  private void answerAndDrop(HttpResponseStatus status, @Nullable String retryAfter) {
    final DefaultFullHttpResponse answer = answer(status, retryAfter);
    closing = true;
    bytesToSkip = Math.max(1, expectedBytes() - body.readableBytes());
    discardRequest();
    removeDecoder();
    idle = true;
    idleSince = System.nanoTime();
    closeAt = idleSince + server.idleNanos();
    channel().writeAndFlush(answer);
  }

  private DefaultFullHttpResponse answer(HttpResponseStatus status, @Nullable String retryAfter) {
    DefaultFullHttpResponse answer = EarlyAnswers.closing(status);
    if (retryAfter != null) {
      answer.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfter);
    }
    if (!requestId().isEmpty()) {
      answer.headers().set(server.requestIdHeader(), requestId());
    }
    return answer;
  }

  private String requestId() {
    return head == null ? "" : head.headers().get(server.requestIdHeader(), "");
  }

  /** Returns the size of the body that is being received, or its maximum if the head is silent. */
  private long expectedBytes() {
    long max = server.maxBodyBytes();
    return head == null ? max : Math.min(max, HttpUtil.getContentLength(head, max));
  }

  /** Removes the decoder, which holds what it has received of a head; bytes are dropped then. */
  private void removeDecoder() {
    if (context != null && context.pipeline().get(CallerRequestDecoder.class) != null) {
      context.pipeline().remove(CallerRequestDecoder.class);
    }
  }

  private void discardRequest() {
    release();
    receipt.end();
    head = null;
    headBytes = 0;
    body.release();
    body = Unpooled.EMPTY_BUFFER;
  }

  private Channel channel() {
    if (context == null) {
      throw new IllegalStateException("the connection is not open yet");
    }
    return context.channel();
  }

  void write(HttpObject part, RelayExchange from) {
    if (part instanceof HttpResponse answer) {
      beginAnswer(answer);
    }
    channel().writeAndFlush(part);
    unread.update(channel());
    from.onCallerWritabilityChanged(channel().isWritable());
  }

  private void beginAnswer(HttpResponse answer) {
    endsWithConnection =
        !HttpUtil.isTransferEncodingChunked(answer) && !HttpUtil.isContentLengthSet(answer);
    if (endsWithConnection) {
      keepAlive = false;
      resetWhenClosed(true);
    }
    announceClose(answer);
  }

  /**
   * Sets whether the connection is reset when it is closed. While an answer that ends with its
   * connection is incomplete, any other end would look like that of the whole answer, also if this
   * process is killed.
   */
  private void resetWhenClosed(boolean enabled) {
    channel().config().setOption(ChannelOption.SO_LINGER, enabled ? 0 : -1);
  }

  private void announceClose(HttpResponse answer) {
    if (!keepAlive || server.stopping() || pipelined.isRefused()) {
      closing = true;
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** Writes the last part of an answer and processes the next pipelined request. */
  void finish(HttpObject last, RelayExchange from) {
    release();
    if (last instanceof HttpResponse answer) {
      announceClose(answer);
    }
    exchange = null;
    idle = true;
    idleSince = System.nanoTime();
    closing |= pipelined.isRefused();
    if (endsWithConnection) {
      resetWhenClosed(false);
    }
    if (closing) {
      channel().writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
      unread.update(channel());
      pipelined.release();
      return;
    }
    channel().writeAndFlush(last);
    unread.update(channel());
    processPipelined();
  }

  /**
   * Processes what arrived behind an answered request. A failure is this connection's alone: the
   * caller of this method is about to record the end of the answer before.
   */
  private void processPipelined() {
    try {
      processAllPipelined();
    } catch (RuntimeException | Error failure) {
      channel().pipeline().fireExceptionCaught(failure);
    }
  }

  private void processAllPipelined() {
    HttpObject next = mayProcess() ? pipelined.poll() : null;
    while (next != null) {
      process(next);
      next = mayProcess() ? pipelined.poll() : null;
    }
    if (closing) {
      pipelined.release();
    } else if (mayProcess()) {
      onIncompleteHead(pipelined.takeIncomplete());
    }
  }

  /** The next request waits until its caller has read the answer before. */
  private boolean mayProcess() {
    return exchange == null && !closing && !unread.isPending();
  }

  /** Closes the connection of a caller that reads too little; its answer looks broken off. */
  private void closeUnread() {
    Logger.info("caller: event=answer_unread held={}", server.answerBuffers().totalBytes());
    closing = true;
    resetWhenClosed(true);
    channel().close();
  }

  /** Releases what the running request has taken of the limits. */
  private void release() {
    server.requestBuffers().remove(this);
    server.requestHeads().remove(headHolder);
  }

  void abort(RelayExchange from) {
    release();
    exchange = null;
    closing = true;
    channel().close();
  }

  /** Closes the connection if it has been without a request for longer than the given time. */
  void closeIfIdle(long idleNanos, long now) {
    boolean overdue = bytesToSkip > 0 ? now - closeAt > 0 : now - idleSince > idleNanos;
    if (idle && exchange == null && !receipt.isActive() && overdue) {
      evict();
    }
  }

  /** Refuses a request that takes its caller too long to send. */
  void refuseIfOverdue(RelayLimits limits, long now) {
    if (!closing && exchange == null && receipt.isOverdue(limits, now)) {
      answerAndDrop(HttpResponseStatus.REQUEST_TIMEOUT, null);
    }
  }

  @Override
  public boolean waitsForClient() {
    return exchange == null && !unread.isPending();
  }

  @Override
  public boolean hasCarriedRequest() {
    return carriedRequest;
  }

  @Override
  public long waitsSince() {
    return receipt.isActive() ? receipt.since() : idleSince;
  }

  @Override
  public void evict() {
    closing = true;
    channel().close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    unread.update(context.channel());
    if (exchange != null) {
      exchange.onCallerWritabilityChanged(context.channel().isWritable());
    } else {
      processPipelined();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    server.onClosed(this);
    discardRequest();
    pipelined.release();
    unread.release();
    RelayExchange open = exchange;
    exchange = null;
    if (open != null) {
      open.onCallerDisconnected();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      Logger.warn(cause, "caller: connection failed");
    }
    context.close();
  }
}
