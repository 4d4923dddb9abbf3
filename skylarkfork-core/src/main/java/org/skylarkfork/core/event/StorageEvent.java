package org.skylarkfork.core.event;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.command.Snapshot;

/** What the data folder answers. */
public sealed interface StorageEvent extends Event {

  /** Returns the group that the data is of. */
  GroupId group();

  /**
   * What the data folder held at the start; comes once for each group before any other event of it.
   *
   * @param group whose state it is
   * @param hardState newest hard state, or null on an empty disk
   * @param snapshot newest snapshot, or null if none was saved
   * @param entries log entries after the snapshot
   */
  record Recovered(
      GroupId group,
      @Nullable HardState hardState,
      @Nullable Snapshot snapshot,
      List<LogEntry> entries)
      implements StorageEvent {

    /** Copies the entries. */
    public Recovered {
      entries = List.copyOf(entries);
    }
  }

  /**
   * A write is synced, and with it each earlier write of the group.
   *
   * @param group whose write it is
   * @param sequence the number given in {@code StorageEffect.Persist}
   */
  record Persisted(GroupId group, long sequence) implements StorageEvent {}

  /**
   * A snapshot is synced.
   *
   * @param group whose snapshot it is
   * @param index last index that the snapshot covers
   */
  record SnapshotSaved(GroupId group, long index) implements StorageEvent {}

  /**
   * A write or sync failed; nothing later is written for the group in this process.
   *
   * @param group whose write failed
   * @param detail what the file system said
   */
  record Failed(GroupId group, String detail) implements StorageEvent {}
}
