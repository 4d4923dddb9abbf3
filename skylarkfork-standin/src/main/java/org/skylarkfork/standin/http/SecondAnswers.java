package org.skylarkfork.standin.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.standin.fault.PlannedAnswer;
import org.skylarkfork.standin.fault.SecondAnswer;

/**
 * Writes second answers on a connection, past the HTTP codec, which allows one answer a request.
 *
 * <p>A second answer that falls due within another answer is written after it.
 */
final class SecondAnswers extends ChannelOutboundHandlerAdapter {

  private static final String LINE_END = "\r\n";

  private final String codec;
  private final Queue<Late> due = new ArrayDeque<>();
  private volatile @Nullable PlannedAnswer next;
  private @Nullable Recording recording;
  private boolean answering;

  /**
   * Makes the handler of a connection.
   *
   * @param codec the name of the HTTP codec in its pipeline
   */
  SecondAnswers(String codec) {
    this.codec = codec;
  }

  /** The bytes of a second answer, and whether the connection ends after them. */
  private record Late(byte[] bytes, boolean last) {}

  /** The first answer as it is written. */
  private record Recording(PlannedAnswer plan, HttpResponse head, ByteArrayOutputStream body) {

    void add(ByteBuf part) {
      byte[] bytes = new byte[part.readableBytes()];
      part.getBytes(part.readerIndex(), bytes);
      body.writeBytes(bytes);
    }
  }

  /**
   * Plans a second answer to the request that is answered next; may be called by any thread.
   *
   * @param plan the second answer
   */
  void plan(PlannedAnswer plan) {
    next = plan;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpResponse head) {
      begin(head);
    }
    Recording present = recording;
    if (present != null) {
      present.add(content(message));
    }
    boolean last = message instanceof LastHttpContent && answering;
    if (present == null) {
      context.write(message, promise);
    } else if (present.plan().afterFailure()) {
      ReferenceCountUtil.release(message);
      fail(context, present, last, promise);
    } else {
      context.write(message, last ? context.newPromise() : promise);
    }
    if (last) {
      end(context, present, promise);
    }
  }

  private void begin(HttpResponse head) {
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      return;
    }
    answering = true;
    PlannedAnswer plan = next;
    next = null;
    recording = plan == null ? null : new Recording(plan, head, new ByteArrayOutputStream());
  }

  private static ByteBuf content(Object message) {
    if (message instanceof HttpContent content) {
      return content.content();
    }
    return message instanceof ByteBuf buffer ? buffer : Unpooled.EMPTY_BUFFER;
  }

  /** Writes a failure at the end of the run's answer, which itself is held back until then. */
  private static void fail(
      ChannelHandlerContext context, Recording present, boolean last, ChannelPromise promise) {
    if (!last) {
      promise.setSuccess();
      return;
    }
    String body = Json.write(ErrorBody.of("Ask again.", "failed", "failed"));
    FullHttpResponse failure =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.INTERNAL_SERVER_ERROR,
            Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    failure.headers().set(present.head().headers()).remove(HttpHeaderNames.TRANSFER_ENCODING);
    HttpUtil.setContentLength(failure, failure.content().readableBytes());
    context.write(failure);
  }

  private void end(
      ChannelHandlerContext context, @Nullable Recording ended, ChannelPromise promise) {
    answering = false;
    recording = null;
    if (ended != null) {
      Late late = late(ended);
      Duration delay = ended.plan().delay();
      if (delay.isZero()) {
        // The promise may end the connection, so it must wait for the second answer.
        writePast(context, late, promise);
      } else {
        context.write(Unpooled.EMPTY_BUFFER, promise);
        context
            .executor()
            .schedule(() -> fallDue(context, late), delay.toMillis(), TimeUnit.MILLISECONDS);
      }
    }
    writeDue(context);
  }

  private void fallDue(ChannelHandlerContext context, Late late) {
    due.add(late);
    writeDue(context);
    context.flush();
  }

  private void writeDue(ChannelHandlerContext context) {
    while (!answering && !due.isEmpty()) {
      writePast(context, due.remove(), context.newPromise());
    }
  }

  private void writePast(ChannelHandlerContext context, Late late, ChannelPromise promise) {
    ChannelHandlerContext below = context.pipeline().context(codec);
    if (below == null) {
      promise.tryFailure(new IllegalStateException("The connection has no HTTP codec any more."));
      return;
    }
    below.write(Unpooled.wrappedBuffer(late.bytes()), promise);
    if (late.last()) {
      promise.addListener(written -> context.close());
    }
  }

  private static Late late(Recording answer) {
    SecondAnswer.Form form = answer.plan().form();
    boolean unframed = form == SecondAnswer.Form.UNFRAMED;
    byte[] whole = encoded(answer, unframed);
    if (form != SecondAnswer.Form.CUT) {
      return new Late(whole, unframed);
    }
    int length = 1 + (int) (answer.plan().cutAt() * (whole.length - 1));
    return new Late(Arrays.copyOf(whole, length), false);
  }

  private static byte[] encoded(Recording answer, boolean unframed) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    writeHead(answer.head(), unframed, bytes);
    if (!unframed && HttpUtil.isTransferEncodingChunked(answer.head())) {
      bytes.writeBytes(latin(Integer.toHexString(answer.body().size()) + LINE_END));
      bytes.writeBytes(answer.body().toByteArray());
      bytes.writeBytes(latin(LINE_END + "0" + LINE_END + LINE_END));
    } else {
      bytes.writeBytes(answer.body().toByteArray());
    }
    return bytes.toByteArray();
  }

  private static void writeHead(HttpResponse head, boolean unframed, ByteArrayOutputStream bytes) {
    bytes.writeBytes(latin(head.protocolVersion() + " " + head.status() + LINE_END));
    for (Map.Entry<String, String> header : head.headers()) {
      if (!unframed || !frames(header.getKey())) {
        bytes.writeBytes(latin(header.getKey() + ": " + header.getValue() + LINE_END));
      }
    }
    bytes.writeBytes(latin(LINE_END));
  }

  private static boolean frames(String header) {
    return HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(header)
        || HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(header);
  }

  private static byte[] latin(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
