package org.skylarkfork.core.event;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.command.Snapshot;

/** Results of reads and writes of the data folder, submitted by the storage. */
public sealed interface StorageEvent extends Event {

  /** Returns the group that the data belongs to. */
  GroupId group();

  /**
   * A damaged log of a group was set aside at this start or an earlier one, so that an empty state
   * isn't that of a new disk: what the group has accepted may be in the damaged log only. Submitted
   * once, before the {@link Recovered} of the group.
   *
   * @param group group that the log belongs to
   */
  record LogSetAside(GroupId group) implements StorageEvent {}

  /**
   * The content of the data folder at the start; submitted once for each group, before any other
   * storage event of that group except {@link LogSetAside}.
   *
   * @param group group that the state belongs to
   * @param hardState newest hard state, or null if the disk is empty
   * @param snapshot newest snapshot, or null if none has been saved
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
   * A write of a group and all earlier writes of that group are synced to the disk.
   *
   * @param group group that the write belongs to
   * @param sequence sequence number of the write, as in {@code StorageEffect.Persist}
   */
  record Persisted(GroupId group, long sequence) implements StorageEvent {}

  /**
   * A snapshot is synced to the disk.
   *
   * @param group group that the snapshot belongs to
   * @param index last index that the snapshot covers
   */
  record SnapshotSaved(GroupId group, long index) implements StorageEvent {}

  /**
   * The stored data of a group can't be used or continued; this process writes nothing more for the
   * group. An operation that the disk refuses isn't reported, since the storage retries it.
   *
   * @param group group that the data belongs to
   * @param detail what is wrong, such as acknowledged records that can't be read any more or an
   *     entry that doesn't follow the last one
   */
  record Failed(GroupId group, String detail) implements StorageEvent {}
}
