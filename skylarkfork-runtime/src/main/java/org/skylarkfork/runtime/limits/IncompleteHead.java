package org.skylarkfork.runtime.limits;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Measures the heap of a head or of trailers while their end is missing: a decoder of the HTTP
 * library keeps their lines, and nothing behind it sees them.
 */
public final class IncompleteHead {

  private final Observer observer;
  private boolean keepsLines;
  private boolean failed;
  private int bytes;
  private int lines;
  private int reported;

  /**
   * Creates a measurement for one decoder.
   *
   * @param observer receives the sizes
   */
  public IncompleteHead(Observer observer) {
    this.observer = observer;
  }

  /** Receives the size of what is incomplete. */
  public interface Observer {

    /**
     * Receives the heap of a head or of trailers that are incomplete.
     *
     * @param bytes the size, in bytes; 0 if nothing is incomplete
     */
    void onIncompleteHead(int bytes);
  }

  /** Records that the first line of a head was read, from which on the decoder keeps its lines. */
  public void begin() {
    keepsLines = true;
  }

  /**
   * Records a step of the decoder.
   *
   * @param in what was received and isn't decoded
   * @param start reader index of these bytes before the step
   * @param parts what the step has decoded
   */
  public void onDecoded(ByteBuf in, int start, List<Object> parts) {
    parts.forEach(this::onPart);
    boolean incomplete = parts.isEmpty() && !failed;
    if (incomplete && keepsLines) {
      bytes += in.readerIndex() - start;
      lines += countLines(in, start);
    }
    report(incomplete ? HeadSize.of(bytes + in.readableBytes(), lines) : 0);
  }

  private void onPart(Object part) {
    bytes = 0;
    lines = 0;
    failed |= part instanceof HttpObject decoded && decoded.decoderResult().isFailure();
    if (part instanceof LastHttpContent) {
      keepsLines = false;
    } else if (part instanceof HttpMessage) {
      keepsLines = true;
    }
  }

  private static int countLines(ByteBuf in, int start) {
    LineCounter counter = new LineCounter();
    in.forEachByte(start, in.readerIndex() - start, counter);
    return counter.lines();
  }

  private void report(int size) {
    if (size != reported) {
      reported = size;
      observer.onIncompleteHead(size);
    }
  }
}
