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

/**
 * Simulates the storage of one group: its synced content, and the unsynced writes that a crash may
 * lose.
 */
final class SimulatedDisk {

  private final GroupId group;
  private final Deque<StorageEffect> unsynced = new ArrayDeque<>();
  private final List<LogEntry> entries = new ArrayList<>();
  private @Nullable HardState hardState;
  private @Nullable Snapshot snapshot;
  private long lastIndex;
  private boolean setAside;

  SimulatedDisk(GroupId group) {
    this.group = group;
  }

  void write(StorageEffect effect) {
    unsynced.addLast(effect);
  }

  /** Syncs the oldest unsynced write and returns the event that the runtime would submit for it. */
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
      // The real log fails here too; otherwise a gap would be detected only at the next start.
      if (entry.index() != lastIndex + 1) {
        throw new AssertionError(group + ": entry " + entry.index() + " after " + lastIndex);
      }
      entries.add(entry);
      lastIndex = entry.index();
    }
  }

  /** Drops all unsynced writes except the given number of oldest ones, as a power failure does. */
  void crash(int survivors) {
    for (int i = 0; i < survivors && !unsynced.isEmpty(); i++) {
      sync();
    }
    unsynced.clear();
  }

  /** Makes the disk empty after its damaged log was set aside. */
  void setLogAside() {
    unsynced.clear();
    entries.clear();
    hardState = null;
    snapshot = null;
    lastIndex = 0;
    setAside = true;
  }

  boolean isLogSetAside() {
    return setAside;
  }

  int unsynced() {
    return unsynced.size();
  }

  StorageEvent.Recovered recover() {
    return new StorageEvent.Recovered(group, hardState, snapshot, entries);
  }
}
