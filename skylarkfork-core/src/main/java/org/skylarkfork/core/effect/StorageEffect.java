package org.skylarkfork.core.effect;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.command.Snapshot;

/** Writes to the data folder. Each is answered by an event only once it is synced to the disk. */
public sealed interface StorageEffect extends Effect {

  /**
   * Writes hard state and log entries, in this order, and syncs them together.
   *
   * @param group whose log is written
   * @param sequence number that {@code StorageEvent.Persisted} repeats; rises by one a write
   * @param hardState new hard state, or null to leave it
   * @param truncateFrom first index to drop before the append, or 0 to drop none
   * @param entries entries to append, without gaps behind the newest snapshot or entry
   */
  record Persist(
      GroupId group,
      long sequence,
      @Nullable HardState hardState,
      long truncateFrom,
      List<LogEntry> entries)
      implements StorageEffect {

    /** Copies the entries. */
    public Persist {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Saves a snapshot and then drops the log entries that it covers.
   *
   * @param group whose snapshot it is
   * @param snapshot the state to keep
   */
  record SaveSnapshot(GroupId group, Snapshot snapshot) implements StorageEffect {}
}
