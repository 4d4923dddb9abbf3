package org.skylarkfork.core.testing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.event.StorageEvent;

/** One group's part of a data folder: what is synced, and what a crash may still take away. */
final class SimulatedDisk {

  private final GroupId group;
  private final Deque<StorageEffect> unsynced = new ArrayDeque<>();
  private final List<LogEntry> entries = new ArrayList<>();
  private @Nullable HardState hardState;
  private @Nullable Snapshot snapshot;
  private long lastIndex;

  SimulatedDisk(GroupId group) {
    this.group = group;
  }

  void write(StorageEffect effect) {
    unsynced.addLast(effect);
  }

  /** Syncs the oldest write and returns what the runtime would report of it. */
  StorageEvent sync() {
    StorageEffect effect = unsynced.removeFirst();
    if (effect instanceof StorageEffect.Persist write) {
      sync(write);
      return new StorageEvent.Persisted(group, write.sequence());
    }
    StorageEffect.SaveSnapshot write = (StorageEffect.SaveSnapshot) effect;
    snapshot = write.snapshot();
    lastIndex = Math.max(lastIndex, write.snapshot().index());
    entries.removeIf(entry -> entry.index() <= write.snapshot().index());
    return new StorageEvent.SnapshotSaved(group, write.snapshot().index());
  }

  private void sync(StorageEffect.Persist write) {
    if (write.hardState() != null) {
      hardState = write.hardState();
    }
    if (write.truncateFrom() > 0) {
      entries.removeIf(entry -> entry.index() >= write.truncateFrom());
      lastIndex = Math.min(lastIndex, write.truncateFrom() - 1);
    }
    for (LogEntry entry : write.entries()) {
      // The real log stops at this: a gap on the disk would be found only at the next start.
      if (entry.index() != lastIndex + 1) {
        throw new AssertionError(group + ": entry " + entry.index() + " after " + lastIndex);
      }
      entries.add(entry);
      lastIndex = entry.index();
    }
  }

  /** Loses the unsynced writes but for the oldest ones, as a power failure does. */
  void crash(int survivors) {
    for (int i = 0; i < survivors && !unsynced.isEmpty(); i++) {
      sync();
    }
    unsynced.clear();
  }

  int unsynced() {
    return unsynced.size();
  }

  StorageEvent.Recovered recover() {
    return new StorageEvent.Recovered(group, hardState, snapshot, entries);
  }
}
