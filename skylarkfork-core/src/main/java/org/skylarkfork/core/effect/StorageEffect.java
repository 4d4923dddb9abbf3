package org.skylarkfork.core.effect;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.command.Snapshot;

/**
 * Writes to the data folder. Each write is answered by a {@code StorageEvent} only after it is
 * synced to the disk.
 */
public sealed interface StorageEffect extends Effect {

  /** Returns the group that the data belongs to. */
  GroupId group();

  /**
   * Writes the hard state and log entries, in this order, and syncs them together.
   *
   * @param group group whose log is written
   * @param sequence number that {@code StorageEvent.Persisted} echoes; rises by one per write
   * @param hardState new hard state, or null to leave it unchanged
   * @param truncateFrom index from which existing entries are dropped before the append, or 0 to
   *     drop none
   * @param entries entries to append, without a gap after the newest snapshot or entry
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
   * @param group group that the snapshot belongs to
   * @param snapshot the snapshot to save
   */
  record SaveSnapshot(GroupId group, Snapshot snapshot) implements StorageEffect {}
}
