package org.skylarkfork.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelInputShutdownReadComplete;
import io.netty.channel.socket.ChannelOutputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.runtime.limits.HeadSize;
import org.skylarkfork.runtime.limits.LineCounter;

/**
 * Refuses what is no whole and clear HTTP request, and answers callers that end their sending side.
 *
 * <p>A caller that has gone looks like one that only ended its sending side. Was it taken for the
 * first, a caller that half-closes would never get its answer; was it taken for the second, engines
 * would work for callers that left. An interim response tells them apart: a caller that left resets
 * the connection on it. HTTP clients skip interim responses.
 */
final class ConnectionGuard extends ChannelDuplexHandler {

  private static final String INTERIM = "HTTP/1.1 102 Processing\r\n\r\n";
  private static final String CHUNKED = "chunked";
  private static final long PROBE_MILLIS = 500;
  private static final long DRAIN_MILLIS = 1_000;
  private static final int LEAST_FINAL_STATUS = 200;

  private final AnswerFormat format;
  private final Supplier<String> ids;
  private @Nullable ChannelHandlerContext place;
  private final Deque<Integer> unansweredHeads = new ArrayDeque<>();
  private int unansweredHeadBytes;
  private DecodedParts decoded = DecodedParts.NONE;
  private @Nullable HeadMeter meter;

  /** Read by other connections' threads. */
  private volatile long idleSince = System.nanoTime();

  private volatile boolean idle = true;
  private long requests;
  private int unanswered;
  private boolean reading;
  private boolean writing;
  private boolean inputEnded;
  private boolean refused;

  ConnectionGuard(AnswerFormat format, Supplier<String> ids) {
    this.format = format;
    this.ids = ids;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    place = added;
  }

  /** Returns how many requests have begun; counts refused ones too. */
  long requests() {
    return requests;
  }

  /** Sets what counts the heads; told when one was answered. */
  void measureWith(HeadMeter headMeter) {
    meter = headMeter;
  }

  /** Returns whether no request waits for its answer. */
  boolean isIdle() {
    return idle;
  }

  /** Returns since when that is so, as the process's monotonic clock, in nanoseconds. */
  long idleSince() {
    return idleSince;
  }

  /** Returns counts of what was decoded. */
  DecodedParts decoded() {
    return decoded;
  }

  /** Returns the heap of the heads of requests that wait for their answers, in bytes. */
  int unansweredHeadBytes() {
    return unansweredHeadBytes;
  }

  /** Returns whether a request has begun whose body is not yet whole. */
  boolean awaitsBody() {
    return reading;
  }

  /** Refuses a request whose headers came too slowly. */
  void refuseSlowHeaders(Duration timeout) {
    ChannelHandlerContext own = place;
    if (own != null && own.channel().isActive() && !refused) {
      String message = "The headers did not arrive within " + timeout.toMillis() + " ms.";
      refuse(own, ErrorKind.BAD_REQUEST.status(), bad(message + " Send them faster."));
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    count(message);
    if (refused) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
      requests++;
      Throwable cause = part.decoderResult().cause();
      ReferenceCountUtil.release(message);
      refuse(context, status(cause), error(cause));
      return;
    }
    if (message instanceof HttpRequest request) {
      String problem = problem(request);
      if (problem != null) {
        ReferenceCountUtil.release(message);
        refuse(context, ErrorKind.BAD_REQUEST.status(), bad(problem));
        return;
      }
      requests++;
      unanswered++;
      reading = true;
      idle = false;
      unansweredHeads.addLast(HeadSize.of(request));
      unansweredHeadBytes += unansweredHeads.getLast();
    }
    if (message instanceof LastHttpContent) {
      reading = false;
    }
    context.fireChannelRead(message);
  }

  private void count(Object message) {
    if (message instanceof HttpContent content) {
      ByteBuf bytes = content.content();
      decoded = decoded.plusPart(bytes.readableBytes(), lines(bytes));
    }
    if (message instanceof HttpRequest || message instanceof LastHttpContent) {
      decoded = decoded.plusEnd();
    }
  }

  private static int lines(ByteBuf bytes) {
    LineCounter counter = new LineCounter();
    bytes.forEachByte(counter);
    return counter.lines();
  }

  private void onAnswered() {
    unanswered--;
    idleSince = System.nanoTime();
    idle = unanswered <= 0;
    Integer head = unansweredHeads.pollFirst();
    unansweredHeadBytes -= head == null ? 0 : head;
    if (meter != null) {
      meter.record();
    }
  }

  /**
   * Returns what makes the request's length or target ambiguous, or null if nothing does.
   *
   * <p>A proxy before this daemon that took another length than this one would see other requests
   * on the connection, and one caller could put a request in another's name.
   */
  private static @Nullable String problem(HttpRequest request) {
    List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (encodings.size() > 1
        || encodings.size() == 1 && !CHUNKED.equalsIgnoreCase(encodings.get(0).trim())) {
      return "'Transfer-Encoding' may only be chunked.";
    }
    if (!encodings.isEmpty() && request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      return "'Content-Length' and 'Transfer-Encoding' were both sent. Send one of them.";
    }
    if (request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
      return "'Host' was sent more than once. Send it once.";
    }
    return null;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (refused && !inputEnded) {
      context.read();
    }
    context.fireChannelReadComplete();
  }

  /** Ends reads behind the input's end; the transport fails on them. */
  @Override
  public void read(ChannelHandlerContext context) {
    if (!inputEnded) {
      context.read();
    }
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpResponse response
        && response.status().code() >= LEAST_FINAL_STATUS) {
      writing = true;
    }
    if (message instanceof LastHttpContent) {
      writing = false;
      onAnswered();
      if (inputEnded && unanswered <= 0) {
        context.write(message, promise.unvoid()).addListener(ChannelFutureListener.CLOSE);
        return;
      }
    }
    context.write(message, promise);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      inputEnded = true;
      inputEnded(context);
    } else if (!(event instanceof ChannelInputShutdownReadComplete)
        && !(event instanceof ChannelOutputShutdownEvent)) {
      context.fireUserEventTriggered(event);
    }
  }

  private void inputEnded(ChannelHandlerContext context) {
    if (refused || unanswered <= 0) {
      context.close();
    } else if (reading) {
      refuse(
          context,
          ErrorKind.BAD_REQUEST.status(),
          bad("The connection's sending side was closed half-way. Send the whole request."));
    } else {
      probeLater(context);
    }
  }

  private void probeLater(ChannelHandlerContext context) {
    context.executor().schedule(() -> probe(context), PROBE_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void probe(ChannelHandlerContext context) {
    if (!context.channel().isActive() || unanswered <= 0) {
      return;
    }
    if (!writing) {
      send(context, INTERIM).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }
    probeLater(context);
  }

  /** Answers past the listener, which has not seen the request or waits for the rest of it. */
  private void refuse(ChannelHandlerContext context, int status, RoutingError error) {
    refused = true;
    int othersWaiting = unanswered - (reading ? 1 : 0);
    if (writing || othersWaiting > 0) {
      context.close();
      return;
    }
    String body = format.error(error);
    String head =
        "HTTP/1.1 "
            + status
            + " Refused\r\nConnection: close\r\nContent-Type: application/json\r\n"
            + (HttpNames.REQUEST_ID + ": " + ids.get() + "\r\n")
            + (HttpNames.ATTEMPTS + ": 0\r\n" + HttpNames.COST_MICROS + ": 0\r\n")
            + (HttpNames.RUN_STATE + ": " + error.runState().headerValue() + "\r\n")
            + ("Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n");
    send(context, head + body).addListener(sent -> closeGently(context));
  }

  /**
   * Reads on for a moment before it closes. A connection that is closed with unread bytes is reset,
   * and the caller would see the reset in place of the answer.
   */
  private void closeGently(ChannelHandlerContext context) {
    Channel channel = context.channel();
    if (!channel.isActive() || inputEnded || !(channel instanceof DuplexChannel duplex)) {
      context.close();
      return;
    }
    duplex.shutdownOutput();
    context.executor().schedule(() -> context.close(), DRAIN_MILLIS, TimeUnit.MILLISECONDS);
    context.read();
  }

  private static ChannelFuture send(ChannelHandlerContext context, String text) {
    return context
        .pipeline()
        .context(HttpServerCodec.class)
        .writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private static int status(Throwable cause) {
    if (cause instanceof TooLongHttpLineException) {
      return 414;
    }
    return cause instanceof TooLongHttpHeaderException ? 431 : ErrorKind.BAD_REQUEST.status();
  }

  private static RoutingError error(Throwable cause) {
    if (cause instanceof TooLongHttpLineException) {
      return RoutingError.notRun(
          ErrorKind.TOO_LARGE, "The request line is over its bound. Send a shorter path or query.");
    }
    if (cause instanceof TooLongHttpHeaderException) {
      return RoutingError.notRun(
          ErrorKind.TOO_LARGE, "The headers are over their bound. Send fewer or shorter ones.");
    }
    return bad("The request is not HTTP/1.1: " + cause.getMessage() + ". Correct it.");
  }

  private static RoutingError bad(String message) {
    return RoutingError.notRun(ErrorKind.BAD_REQUEST, message);
  }
}
