package org.skylarkfork.runtime.storage;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.command.LogEntry;

/** Rebuilds hard state and entries from the stored writes in their order. */
final class ReplayedLog {

  private final long snapshotIndex;
  private final List<LogEntry> entries = new ArrayList<>();
  private @Nullable HardState hardState;

  /** Creates an empty log that follows a snapshot; 0 for none. */
  ReplayedLog(long snapshotIndex) {
    this.snapshotIndex = snapshotIndex;
  }

  /** Takes the hard state that a segment begins with. */
  void startSegment(SegmentStart start) {
    hardState = start.hardState();
  }

  /** Applies a write; returns what is wrong with it, or null. */
  @Nullable String apply(LogWrite write) {
    if (write.hardState() != null) {
      hardState = write.hardState();
    }
    if (write.truncateFrom() > 0) {
      truncate(write.truncateFrom());
    }
    for (LogEntry entry : write.entries()) {
      if (entry.index() <= snapshotIndex) {
        continue;
      }
      if (entry.index() != lastIndex() + 1) {
        return "entry " + entry.index() + " after entry " + lastIndex();
      }
      entries.add(entry);
    }
    return null;
  }

  private void truncate(long from) {
    int kept = entries.size();
    while (kept > 0 && entries.get(kept - 1).index() >= from) {
      kept--;
    }
    entries.subList(kept, entries.size()).clear();
  }

  /** Returns the index of the last entry, or of the snapshot if there is none after it. */
  long lastIndex() {
    return entries.isEmpty() ? snapshotIndex : entries.get(entries.size() - 1).index();
  }

  @Nullable HardState hardState() {
    return hardState;
  }

  /** Returns the entries after the snapshot. */
  List<LogEntry> entries() {
    return entries;
  }
}
