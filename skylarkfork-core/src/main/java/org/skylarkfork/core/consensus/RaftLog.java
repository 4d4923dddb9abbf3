package org.skylarkfork.core.consensus;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.command.LogEntry;

/** The entries of a group's log that are in memory; those before {@link #baseIndex} are dropped. */
final class RaftLog {

  /** What {@link #termAt} gives for an index that isn't in memory. */
  static final long UNKNOWN_TERM = -1;

  private final GroupCodec codec;
  private final List<Slot> slots = new ArrayList<>();
  private long baseIndex;
  private long baseTerm;
  private Instant baseStamp = Instant.EPOCH;

  RaftLog(GroupCodec codec) {
    this.codec = codec;
  }

  /** Returns the last index that isn't in memory as an entry; its term still is. */
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

  /** Returns the term of an entry, or {@link #UNKNOWN_TERM}. */
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
        !entry.stampedAt().isBefore(lastStamp()), "stamps never decrease along the log");
    slots.add(new Slot(entry, codec.sizeOf(entry.command())));
  }

  void truncateFrom(long index) {
    slots.subList((int) (index - baseIndex - 1), slots.size()).clear();
  }

  /** Drops the entries up to an index that is in memory. */
  void compact(long index) {
    if (index <= baseIndex) {
      return;
    }
    LogEntry last = entry(index);
    slots.subList(0, (int) (index - baseIndex)).clear();
    baseIndex = index;
    baseTerm = last.term();
    baseStamp = last.stampedAt();
  }

  /** Drops all entries and goes on behind a snapshot. */
  void reset(long index, long term, Instant stampedAt) {
    slots.clear();
    baseIndex = index;
    baseTerm = term;
    baseStamp = stampedAt;
  }

  /** Returns entries from an index up to another one, as many as the bounds allow, at least one. */
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

  private record Slot(LogEntry entry, int size) {}
}
