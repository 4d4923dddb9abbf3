package org.skylarkfork.core.consensus;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.command.LogEntry;

/** In-memory part of a group's log; entries up to {@link #baseIndex} are compacted away. */
final class RaftLog {

  /** Result of {@link #termAt} for an index that isn't in memory. */
  static final long UNKNOWN_TERM = -1;

  private final GroupCodec codec;
  private final List<Slot> slots = new ArrayList<>();
  private long baseIndex;
  private long baseTerm;
  private Instant baseStamp = Instant.EPOCH;

  /** Size of all commands up to {@link #baseIndex}, in bytes. */
  private long baseBytes;

  RaftLog(GroupCodec codec) {
    this.codec = codec;
  }

  /** Returns the index of the last compacted entry, whose term is still known. */
  long baseIndex() {
    return baseIndex;
  }

  long baseTerm() {
    return baseTerm;
  }

  long lastIndex() {
    return baseIndex + slots.size();
  }

  long lastTerm() {
    return termAt(lastIndex());
  }

  Instant lastStamp() {
    return slots.isEmpty() ? baseStamp : entry(lastIndex()).stampedAt();
  }

  /** Returns the term of an entry, or {@link #UNKNOWN_TERM} if the entry isn't in memory. */
  long termAt(long index) {
    if (index == baseIndex) {
      return baseTerm;
    }
    if (index < baseIndex || index > lastIndex()) {
      return UNKNOWN_TERM;
    }
    return entry(index).term();
  }

  LogEntry entry(long index) {
    return slots.get((int) (index - baseIndex - 1)).entry;
  }

  void append(LogEntry entry) {
    Invariants.check(entry.index() == lastIndex() + 1, "log has no gaps");
    Invariants.check(entry.term() >= lastTerm(), "terms never decrease along the log");
    Invariants.check(
        !entry.stampedAt().isBefore(lastStamp()), "timestamps never decrease along the log");
    int size = codec.sizeOf(entry.command());
    slots.add(new Slot(entry, size, bytesUpTo(lastIndex()) + size));
  }

  void truncateFrom(long index) {
    slots.subList((int) (index - baseIndex - 1), slots.size()).clear();
  }

  /** Drops the entries up to and including an index; does nothing if they are dropped already. */
  void compact(long index) {
    if (index <= baseIndex) {
      return;
    }
    final LogEntry last = entry(index);
    baseBytes = bytesUpTo(index);
    slots.subList(0, (int) (index - baseIndex)).clear();
    baseIndex = index;
    baseTerm = last.term();
    baseStamp = last.stampedAt();
  }

  /** Drops all entries and continues after a snapshot. */
  void reset(long index, long term, Instant stampedAt) {
    slots.clear();
    baseIndex = index;
    baseTerm = term;
    baseStamp = stampedAt;
  }

  /**
   * Returns entries from one index to another, both inclusive, as many as the limits allow, but at
   * least one.
   */
  List<LogEntry> slice(long from, long to, int maxEntries, int maxBytes) {
    List<LogEntry> entries = new ArrayList<>();
    long bytes = 0;
    for (long index = from; index <= to && entries.size() < maxEntries; index++) {
      Slot slot = slots.get((int) (index - baseIndex - 1));
      bytes += slot.size;
      if (!entries.isEmpty() && bytes > maxBytes) {
        break;
      }
      entries.add(slot.entry);
    }
    return entries;
  }

  int sizeAt(long index) {
    return slots.get((int) (index - baseIndex - 1)).size;
  }

  /** Returns the size of the commands in memory, in bytes. */
  long bytes() {
    return bytesUpTo(lastIndex()) - baseBytes;
  }

  /**
   * Returns the size of the commands after one index and up to another, in bytes; compacted ones
   * don't count.
   */
  long bytesBetween(long after, long upTo) {
    return upTo <= after ? 0 : bytesUpTo(upTo) - bytesUpTo(after);
  }

  /**
   * Returns the lowest index after which the entries up to a given one are within both limits, and
   * at least {@link #baseIndex}.
   */
  long startOfTrailing(long index, int maxEntries, long maxBytes) {
    long start = index;
    while (start > baseIndex
        && index - start < maxEntries
        && bytesBetween(start - 1, index) <= maxBytes) {
      start--;
    }
    return start;
  }

  private long bytesUpTo(long index) {
    return index <= baseIndex ? baseBytes : slots.get((int) (index - baseIndex - 1)).endBytes;
  }

  /** An entry, the size of its command and that of all commands up to it, in bytes. */
  private record Slot(LogEntry entry, int size, long endBytes) {}
}
