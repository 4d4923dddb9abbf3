package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.limits.AnswerBuffers;
import org.skylarkfork.runtime.limits.ConnectionLimit;
import org.skylarkfork.runtime.limits.HeadSize;
import org.skylarkfork.runtime.limits.IncompleteHead;
import org.skylarkfork.runtime.limits.RequestBuffers;
import org.tinylog.Logger;

/**
 * A connection to an {@link HttpEndpoint}, on which calls are answered one after the other. A call
 * that is sent before the answer to the one before ends the connection behind that answer.
 */
final class CallConnection extends ChannelInboundHandlerAdapter
    implements RequestBuffers.Holder,
        AnswerBuffers.Holder,
        IncompleteHead.Observer,
        ConnectionLimit.Connection {

  private static final String SHARED_ADDRESS = "127.0.0.1";
  private static final String RETRY_AFTER = "1";
  private static final HttpReply MALFORMED_ESCAPE =
      new HttpReply(
          HttpResponseStatus.BAD_REQUEST.code(),
          "text/plain",
          "an escape in the path or query is malformed".getBytes(StandardCharsets.US_ASCII));

  private final Channel channel;
  private final Function<HttpCall, CompletableFuture<HttpReply>> handler;
  private final CallLimits limits;
  private final int maxBodyBytes;
  private final ConnectionLimit<CallConnection> connections;
  private @Nullable HttpRequest head;
  private int headBytes;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private boolean calling;
  private boolean receiving;
  private boolean carriedCall;
  private boolean closing;
  private boolean keepAlive;
  private long waitsSince = System.nanoTime();

  /**
   * Creates the handler of a connection.
   *
   * @param channel the connection
   * @param handler answers a call; its future never fails
   * @param limits limits on the memory of all calls
   * @param maxBodyBytes maximum size of a body, in bytes
   * @param connections the listener's connections
   */
  CallConnection(
      Channel channel,
      Function<HttpCall, CompletableFuture<HttpReply>> handler,
      CallLimits limits,
      int maxBodyBytes,
      ConnectionLimit<CallConnection> connections) {
    this.channel = channel;
    this.handler = handler;
    this.limits = limits;
    this.maxBodyBytes = maxBodyBytes;
    this.connections = connections;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    connections.onOpened(this);
  }

  @Override
  public void onIncompleteHead(int bytes) {
    if (!calling && !closing) {
      startReceiving(bytes > 0);
      limits.heads().resize(this, headBytes + bytes);
    }
  }

  private void startReceiving(boolean begun) {
    if (begun && !receiving) {
      receiving = true;
      waitsSince = System.nanoTime();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (!closing && message instanceof HttpObject part) {
        receive(part);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void receive(HttpObject part) {
    if (calling) {
      stopReceiving();
      return;
    }
    if (part.decoderResult().isFailure()) {
      refuse(EarlyAnswers.statusOf(part.decoderResult().cause()));
      return;
    }
    if (part instanceof HttpRequest request) {
      receiveHead(request);
    }
    if (part instanceof HttpContent content && head != null) {
      receiveBody(content);
    }
  }

  private void receiveHead(HttpRequest request) {
    startReceiving(true);
    head = request;
    headBytes = HeadSize.of(request);
    limits.heads().resize(this, headBytes);
    if (head == null) {
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
      refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    } else if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(EarlyAnswers.goOn());
    }
  }

  private void receiveBody(HttpContent content) {
    int bytes = body.readableBytes() + content.content().readableBytes();
    if (bytes > maxBodyBytes) {
      refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    limits.bodies().resize(this, bytes);
    HttpRequest request = head;
    if (request == null) {
      return;
    }
    if (content.content().isReadable()) {
      body = body.capacity() == 0 ? Unpooled.buffer(bytes) : body;
      body.writeBytes(content.content());
    }
    if (content instanceof LastHttpContent) {
      call(request);
    }
  }

  private void call(HttpRequest request) {
    calling = true;
    receiving = false;
    carriedCall = true;
    keepAlive = HttpUtil.isKeepAlive(request);
    boolean withoutBody = request.method().equals(HttpMethod.HEAD);
    limits.heads().complete(this);
    limits.bodies().complete(this);
    HttpCall call = read(request);
    if (call == null) {
      release();
      write(MALFORMED_ESCAPE, withoutBody);
      return;
    }
    handler
        .apply(call)
        .whenComplete((reply, failure) -> onReply(call, reply, failure, withoutBody));
  }

  /** Returns the call, or null if an escape in its path or query is malformed. */
  private @Nullable HttpCall read(HttpRequest request) {
    QueryStringDecoder uri = new QueryStringDecoder(request.uri());
    try {
      return new HttpCall(
          request.method().name(),
          uri.path(),
          uri.parameters(),
          ByteBufUtil.getBytes(body),
          requester(channel.remoteAddress()));
    } catch (IllegalArgumentException malformed) {
      Logger.warn("control: refused a call: {}", malformed.getMessage());
      return null;
    }
  }

  private void onReply(
      HttpCall call, @Nullable HttpReply reply, @Nullable Throwable failure, boolean withoutBody) {
    release();
    if (failure != null || reply == null) {
      Logger.error(failure, "control: a call failed path={}", call.path());
      channel.close();
    } else {
      write(reply, withoutBody);
    }
  }

  /**
   * Returns the address that identifies a sender; empty if it doesn't.
   *
   * <p>The first loopback address is that of all processes of a host that don't choose another one.
   * If it identified a caller, all callers of that host would get the same selection of entries.
   */
  private static String requester(SocketAddress address) {
    if (!(address instanceof InetSocketAddress internet) || internet.getAddress() == null) {
      return "";
    }
    String host = internet.getAddress().getHostAddress();
    return host.equals(SHARED_ADDRESS) ? "" : host;
  }

  private void write(HttpReply reply, boolean withoutBody) {
    DefaultFullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(reply.status()),
            withoutBody ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(reply.body()));
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
    answer.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
    if (!keepAlive) {
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    waitsSince = System.nanoTime();
    limits.replies().resize(this, reply.body().length);
    channel.writeAndFlush(answer).addListener(done -> onWritten());
  }

  private void onWritten() {
    limits.replies().remove(this);
    calling = false;
    waitsSince = System.nanoTime();
    if (!keepAlive) {
      closing = true;
      channel.close();
    }
  }

  /** Refuses the call that is being received, since all calls together are too large. */
  @Override
  public void refuse() {
    refuse(HttpResponseStatus.SERVICE_UNAVAILABLE);
  }

  /**
   * Refuses the call. The rest of it is read and dropped: a connection that is closed before is
   * reset, and the caller would lose the answer.
   */
  private void refuse(HttpResponseStatus status) {
    closing = true;
    receiving = false;
    waitsSince = System.nanoTime();
    release();
    removeDecoder();
    DefaultFullHttpResponse answer = EarlyAnswers.closing(status);
    if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
      answer.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER);
    }
    channel.writeAndFlush(answer);
  }

  /** Drops what follows the call in progress, whose answer ends the connection. */
  private void stopReceiving() {
    keepAlive = false;
    removeDecoder();
  }

  private void removeDecoder() {
    if (channel.pipeline().get(CallerRequestDecoder.class) != null) {
      channel.pipeline().remove(CallerRequestDecoder.class);
    }
  }

  private void release() {
    limits.heads().remove(this);
    limits.bodies().remove(this);
    head = null;
    headBytes = 0;
    body.release();
    body = Unpooled.EMPTY_BUFFER;
  }

  /** Gives the reply up, since the client doesn't read it and all replies are too large. */
  @Override
  public void giveUp() {
    channel.close();
  }

  @Override
  public boolean waitsForClient() {
    return !calling;
  }

  @Override
  public boolean hasCarriedRequest() {
    return carriedCall;
  }

  @Override
  public long waitsSince() {
    return waitsSince;
  }

  @Override
  public void evict() {
    closing = true;
    channel.close();
  }

  /** Closes the connection if its client has let it wait for longer than the given time. */
  void closeIfOverdue(long maxNanos, long now) {
    boolean unread = calling && !channel.isWritable();
    if ((waitsForClient() || unread) && now - waitsSince > maxNanos) {
      evict();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    connections.onClosed(this);
    limits.replies().remove(this);
    closing = true;
    release();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      Logger.warn(cause, "control: connection failed");
    }
    context.close();
  }
}
