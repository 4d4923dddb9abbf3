package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Cuts a stream of server-sent events into whole events.
 *
 * <p>An upstream can break off in the middle of an event. Had its beginning been passed on, the
 * same event would come twice, in pieces of two runs, once the stream goes on at another upstream.
 */
final class EventSplitter {

  private static final int MAX_EVENT_BYTES = 1 << 20;

  private ByteBuf pending;
  private @Nullable String lastId;

  /**
   * Makes a splitter.
   *
   * @param buffer an empty buffer that it takes over
   */
  EventSplitter(ByteBuf buffer) {
    this.pending = buffer;
  }

  /**
   * Takes bytes in.
   *
   * @throws IllegalStateException if one event is longer than 1 MiB
   */
  void add(ByteBuf bytes) {
    pending.writeBytes(bytes);
    if (pending.readableBytes() > MAX_EVENT_BYTES) {
      throw new IllegalStateException("an event is longer than " + MAX_EVENT_BYTES + " bytes");
    }
  }

  /** Returns the whole events that came, which the receiver must release, or null for none. */
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

  /** Returns what is left at the end of an answer, which the receiver must release. */
  ByteBuf takeRemainder() {
    ByteBuf rest = pending.alloc().buffer(Math.max(1, pending.readableBytes()));
    rest.writeBytes(pending);
    return rest;
  }

  /** Returns whether bytes of an unfinished event wait. */
  boolean hasPartialEvent() {
    return pending.isReadable();
  }

  /** Returns the id of the newest whole event, or null. */
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
    int before = end - 2;
    if (pending.getByte(before) == '\n') {
      return true;
    }
    return pending.getByte(before) == '\r'
        && before - 1 >= pending.readerIndex()
        && pending.getByte(before - 1) == '\n';
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
