package org.skylarkfork.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.limits.HeadSize;
import org.skylarkfork.runtime.limits.LineCounter;
import org.skylarkfork.runtime.limits.RequestBuffers;

/**
 * Counts the heap of the heads that a connection holds: of the one that is being received, which
 * the decoder keeps, and of those that wait for an answer. Its place is before the decoder.
 *
 * <p>If all heads of a listener take too much, the connection with the largest is closed. The
 * decoder would keep what it has of a head as long as the connection is open.
 */
final class HeadMeter extends ChannelInboundHandlerAdapter implements RequestBuffers.Holder {

  /** Ends of lines of a chunk: behind its size and behind its bytes. */
  private static final int LINES_PER_CHUNK = 2;

  private final ConnectionGuard guard;
  private final RequestBuffers heads;
  private @Nullable Channel channel;
  private int incompleteBytes;

  /**
   * Creates a meter of one connection.
   *
   * @param guard sees what the decoder makes of the bytes
   * @param heads limits on the heads of the listener
   */
  HeadMeter(ConnectionGuard guard, RequestBuffers heads) {
    this.guard = guard;
    this.heads = heads;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    channel = added.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    final int size = message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    final int lines = message instanceof ByteBuf bytes ? lines(bytes) : 0;
    final DecodedParts before = guard.decoded();
    context.fireChannelRead(message);
    DecodedParts decoded = guard.decoded().since(before);
    if (decoded.ends() > 0) {
      incompleteBytes = 0;
    } else {
      incompleteBytes = incomplete(size, lines, decoded);
    }
    record();
  }

  /** What lies between the parts of a body isn't kept, unless it is the beginning of trailers. */
  private int incomplete(int size, int lines, DecodedParts decoded) {
    if (decoded.parts() > 0) {
      return HeadSize.of(
          0, Math.max(0, lines - decoded.lines() - LINES_PER_CHUNK * decoded.parts()));
    }
    return incompleteBytes + HeadSize.of(size, lines);
  }

  private static int lines(ByteBuf bytes) {
    LineCounter counter = new LineCounter();
    bytes.forEachByte(counter);
    return counter.lines();
  }

  /** Records the size again, after heads were decoded or answered. */
  void record() {
    Channel open = channel;
    if (open != null && open.isActive()) {
      heads.resize(this, incompleteBytes + guard.unansweredHeadBytes());
    }
  }

  @Override
  public void refuse() {
    Channel open = channel;
    if (open != null) {
      open.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    heads.remove(this);
    context.fireChannelInactive();
  }
}
