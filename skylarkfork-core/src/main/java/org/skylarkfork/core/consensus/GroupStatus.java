package org.skylarkfork.core.consensus;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.Members;

/**
 * Status of a replica for operators and metrics.
 *
 * @param group the group
 * @param role current Raft role
 * @param term highest term seen
 * @param leader node name of the known leader, or null if unknown
 * @param commitIndex highest index known to be committed
 * @param lastIndex last index of the replica's log
 * @param syncedIndex last index that is synced to the replica's disk
 * @param logBytes size of the commands of the log that are held in memory, in bytes
 * @param snapshotIndex last index that the saved snapshot covers, 0 if there is no snapshot
 * @param members members according to the latest change in the replica's log
 * @param membersIndex index of the entry that contains this change; committed once {@code
 *     commitIndex} covers it
 * @param instance id of the replica's current disk
 * @param storageFailed whether the replica has stopped voting because its disk failed
 */
public record GroupStatus(
    GroupId group,
    Role role,
    long term,
    @Nullable String leader,
    long commitIndex,
    long lastIndex,
    long syncedIndex,
    long logBytes,
    long snapshotIndex,
    Members members,
    long membersIndex,
    long instance,
    boolean storageFailed) {

  /** Returns whether the latest member change in the log is known to be committed. */
  public boolean membersCommitted() {
    return membersIndex <= commitIndex;
  }
}
