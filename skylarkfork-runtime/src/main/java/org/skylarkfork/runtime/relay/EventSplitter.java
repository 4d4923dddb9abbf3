package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events into complete events.
 *
 * <p>An upstream can fail in the middle of an event. If the first part of this event were
 * forwarded, the caller would receive the same event twice, in parts of two runs, once the stream
 * resumes at another upstream.
 */
final class EventSplitter {

  private static final int MAX_EVENT_BYTES = 1 << 20;

  private ByteBuf pending;
  private @Nullable String lastId;

  /**
   * Creates a splitter.
   *
   * @param buffer an empty buffer, which the splitter owns from now on
   */
  EventSplitter(ByteBuf buffer) {
    this.pending = buffer;
  }

  /**
   * Appends received bytes.
   *
   * @throws IllegalStateException if one event is longer than 1 MiB
   */
  void add(ByteBuf bytes) {
    pending.writeBytes(bytes);
    if (pending.readableBytes() > MAX_EVENT_BYTES) {
      throw new IllegalStateException(
          "a server-sent event is longer than " + MAX_EVENT_BYTES + " bytes");
    }
  }

  /**
   * Removes and returns the complete events received so far, or null if there are none; the caller
   * must release the buffer.
   */
  @Nullable ByteBuf takeWholeEvents() {
    int end = endOfLastEvent();
    if (end <= pending.readerIndex()) {
      return null;
    }
    updateLastId(end);
    ByteBuf events = pending.alloc().buffer(end - pending.readerIndex());
    pending.readBytes(events, end - pending.readerIndex());
    pending.discardSomeReadBytes();
    return events;
  }

  /**
   * Removes and returns the bytes that remain at the end of an answer; the caller must release the
   * buffer.
   */
  ByteBuf takeRemainder() {
    ByteBuf rest = pending.alloc().buffer(Math.max(1, pending.readableBytes()));
    rest.writeBytes(pending);
    return rest;
  }

  /** Returns whether bytes of an incomplete event are buffered. */
  boolean hasPartialEvent() {
    return pending.isReadable();
  }

  /** Returns the number of buffered bytes that belong to an incomplete event. */
  int unfinishedBytes() {
    return pending.writerIndex() - Math.max(pending.readerIndex(), endOfLastEvent());
  }

  /**
   * Returns the id of the newest event that {@link #takeWholeEvents} returned, or null if there is
   * none.
   */
  @Nullable String lastId() {
    return lastId;
  }

  void release() {
    pending.release();
  }

  private int endOfLastEvent() {
    for (int end = pending.writerIndex(); end > pending.readerIndex() + 1; end--) {
      if (pending.getByte(end - 1) == '\n' && endsWithBlankLine(end)) {
        return end;
      }
    }
    return -1;
  }

  private boolean endsWithBlankLine(int end) {
    int previous = end - 2;
    if (pending.getByte(previous) == '\n') {
      return true;
    }
    return pending.getByte(previous) == '\r'
        && previous - 1 >= pending.readerIndex()
        && pending.getByte(previous - 1) == '\n';
  }

  private void updateLastId(int end) {
    String text =
        pending.toString(
            pending.readerIndex(), end - pending.readerIndex(), StandardCharsets.UTF_8);
    for (String line : text.split("\r?\n")) {
      if (line.startsWith("id:")) {
        lastId = line.substring("id:".length()).trim();
      }
    }
  }
}
