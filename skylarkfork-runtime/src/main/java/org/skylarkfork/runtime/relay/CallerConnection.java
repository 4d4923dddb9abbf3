package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
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
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** A caller's connection, on which requests are served one after the other. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

  private static final int MAX_PIPELINED = 256;

  private final RelayCallerServer server;
  private final Deque<HttpObject> pipelined = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext context;
  private @Nullable HttpRequest head;
  private @Nullable CompositeByteBuf body;
  private @Nullable RelayExchange exchange;
  private boolean keepAlive;
  private boolean closing;
  private boolean endsWithConnection;
  private boolean idle = true;
  private long idleSince = System.nanoTime();

  CallerConnection(RelayCallerServer server) {
    this.server = server;
  }

  @Override
  public void channelActive(ChannelHandlerContext opened) {
    context = opened;
    server.onOpened(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (closing || !(message instanceof HttpObject part)) {
      ReferenceCountUtil.release(message);
    } else if (exchange != null) {
      enqueue(part);
    } else {
      process(part);
    }
  }

  private void enqueue(HttpObject part) {
    pipelined.addLast(part);
    if (pipelined.size() > MAX_PIPELINED) {
      channel().close();
    }
  }

  private void process(HttpObject part) {
    try {
      if (part.decoderResult().isFailure()) {
        reject(HttpResponseStatus.BAD_REQUEST);
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
    if (hasAmbiguousLength(request)) {
      reject(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    head = request;
    body = ByteBufAllocator.DEFAULT.compositeBuffer(MAX_PIPELINED);
    keepAlive = HttpUtil.isKeepAlive(request);
    if (HttpUtil.is100ContinueExpected(request)) {
      channel()
          .writeAndFlush(
              new DefaultFullHttpResponse(
                  HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
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
    CompositeByteBuf buffered = body;
    if (buffered == null) {
      return;
    }
    if (buffered.readableBytes() + content.content().readableBytes() > server.maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    buffered.addComponent(true, content.content().retain());
    if (content instanceof LastHttpContent) {
      HttpRequest request = head;
      head = null;
      body = null;
      if (request != null) {
        exchange = server.startRequest(request, buffered, this);
      }
    }
  }

  /**
   * Rejects a malformed request and closes the connection, since the end of the request isn't
   * known.
   */
  void reject(HttpResponseStatus status) {
    closing = true;
    discardRequest();
    DefaultFullHttpResponse answer =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel().writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
  }

  private void discardRequest() {
    head = null;
    if (body != null) {
      body.release();
      body = null;
    }
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
    if (!keepAlive || server.stopping()) {
      closing = true;
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** Writes the last part of an answer and processes the next pipelined request. */
  void finish(HttpObject last, RelayExchange from) {
    if (last instanceof HttpResponse answer) {
      announceClose(answer);
    }
    exchange = null;
    idle = true;
    idleSince = System.nanoTime();
    if (endsWithConnection) {
      resetWhenClosed(false);
    }
    if (closing) {
      channel().writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    channel().writeAndFlush(last);
    while (exchange == null && !closing && !pipelined.isEmpty()) {
      process(pipelined.removeFirst());
    }
  }

  void abort(RelayExchange from) {
    exchange = null;
    closing = true;
    channel().close();
  }

  /** Closes the connection if it has been without a request for longer than the given time. */
  void closeIfIdle(long idleNanos, long now) {
    if (idle && exchange == null && now - idleSince > idleNanos) {
      closing = true;
      channel().close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (exchange != null) {
      exchange.onCallerWritabilityChanged(context.channel().isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    server.onClosed(this);
    discardRequest();
    pipelined.forEach(ReferenceCountUtil::release);
    pipelined.clear();
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
