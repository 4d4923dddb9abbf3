package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.answer.ForwardedEvents;
import org.skylarkfork.runtime.limits.TooLongAnswerException;

/**
 * Splits a stream of server-sent events into whole events.
 *
 * <p>An event ends with an empty line; a line ends with CR, LF or both. Comments between two events
 * belong to no event. An upstream can fail in the middle of an event. If the first part of this
 * event were forwarded, the caller would receive the same event twice, in parts of two runs, once
 * the stream resumes at another upstream.
 */
final class EventSplitter {

  private static final int MAX_EVENT_BYTES = 1 << 20;

  private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

  private static final String ID_FIELD = "id";

  private final ByteBuf pending;
  private final boolean continuesStream;

  // Positions relative to the reader index of the pending bytes.
  private int parsedBytes;
  private int wholeBytes;
  private int lineStart;

  private boolean atStart = true;
  private boolean lineEndedWithReturn;
  private boolean insideEvent;
  private @Nullable String openEventId;
  private ForwardedEvents position = ForwardedEvents.NONE;
  private long events;

  /**
   * Creates a splitter.
   *
   * @param buffer an empty buffer, which the splitter owns from now on
   * @param continuesStream whether the events follow those of an earlier run; a byte order mark,
   *     which is valid at the start of a stream only, is then left out
   */
  EventSplitter(ByteBuf buffer, boolean continuesStream) {
    this.pending = buffer;
    this.continuesStream = continuesStream;
  }

  /**
   * Appends received bytes.
   *
   * @throws TooLongAnswerException if more than 1 MiB is buffered
   */
  void add(ByteBuf bytes) {
    pending.writeBytes(bytes);
    parse();
    if (pending.readableBytes() > MAX_EVENT_BYTES) {
      throw new TooLongAnswerException("an event", MAX_EVENT_BYTES);
    }
  }

  /**
   * Removes and returns the whole events received so far, or null if there are none; the caller
   * must release the buffer.
   */
  @Nullable ByteBuf takeWholeEvents() {
    if (wholeBytes == 0) {
      return null;
    }
    int length = wholeBytes;
    ByteBuf whole = pending.alloc().buffer(length);
    pending.readBytes(whole, length);
    wholeBytes = 0;
    parsedBytes -= length;
    lineStart -= length;
    pending.discardSomeReadBytes();
    return whole;
  }

  /** Returns the number of buffered bytes that belong to an event without its end. */
  int unfinishedBytes() {
    return pending.readableBytes() - wholeBytes;
  }

  /** Returns the size of the buffer in bytes. */
  int bufferBytes() {
    return pending.capacity();
  }

  /** Returns the number of whole events received. */
  long events() {
    return events;
  }

  /** Returns where another run could go on after the whole events received. */
  ForwardedEvents position() {
    return position;
  }

  void release() {
    pending.release();
  }

  private void parse() {
    if (atStart && startsWithByteOrderMark()) {
      atStart = false;
      readByteOrderMark();
    }
    int lineEnd = nextLineEnd();
    while (lineEnd >= 0) {
      endLine(lineEnd);
      lineEnd = nextLineEnd();
    }
    parsedBytes = pending.readableBytes();
  }

  private boolean startsWithByteOrderMark() {
    if (pending.readableBytes() < BYTE_ORDER_MARK.length) {
      return false;
    }
    ByteBuf start = pending.slice(pending.readerIndex(), BYTE_ORDER_MARK.length);
    return start.equals(Unpooled.wrappedBuffer(BYTE_ORDER_MARK));
  }

  private void readByteOrderMark() {
    if (continuesStream) {
      pending.skipBytes(BYTE_ORDER_MARK.length);
    } else {
      parsedBytes = BYTE_ORDER_MARK.length;
      lineStart = parsedBytes;
      wholeBytes = parsedBytes;
    }
  }

  private int nextLineEnd() {
    int index =
        pending.forEachByte(
            pending.readerIndex() + parsedBytes,
            pending.readableBytes() - parsedBytes,
            ByteProcessor.FIND_CRLF);
    return index < 0 ? -1 : index - pending.readerIndex();
  }

  private void endLine(int position) {
    byte end = pending.getByte(pending.readerIndex() + position);
    boolean secondByteOfEnd = end == '\n' && lineEndedWithReturn && position == lineStart;
    if (!secondByteOfEnd) {
      readLine(lineStart, position);
    }
    lineEndedWithReturn = end == '\r';
    parsedBytes = position + 1;
    lineStart = parsedBytes;
    if (!insideEvent) {
      wholeBytes = parsedBytes;
    }
  }

  private void readLine(int start, int end) {
    atStart = false;
    if (start == end) {
      endEvent();
    } else if (pending.getByte(pending.readerIndex() + start) != ':') {
      insideEvent = true;
      readField(start, end - start);
    }
  }

  private void endEvent() {
    if (!insideEvent) {
      return;
    }
    insideEvent = false;
    events++;
    String id = openEventId == null ? position.lastId() : openEventId;
    position = new ForwardedEvents(id, openEventId != null && isHeaderValue(openEventId));
    openEventId = null;
  }

  /** Reads the id; a field without a colon has an empty value, and one with a NUL is ignored. */
  private void readField(int start, int length) {
    if (pending.getByte(pending.readerIndex() + start) != ID_FIELD.charAt(0)) {
      return;
    }
    String line = pending.toString(pending.readerIndex() + start, length, StandardCharsets.UTF_8);
    int colon = line.indexOf(':');
    String name = colon < 0 ? line : line.substring(0, colon);
    if (name.equals(ID_FIELD) && line.indexOf('\0') < 0) {
      String value = colon < 0 ? "" : line.substring(colon + 1);
      openEventId = value.startsWith(" ") ? value.substring(1) : value;
    }
  }

  /** Returns whether a request can name the id in a header, to be answered after its event. */
  private static boolean isHeaderValue(String id) {
    return !id.isEmpty()
        && id.equals(id.strip())
        && id.chars().allMatch(character -> character >= ' ' && character <= '~');
  }
}
