package org.skylarkfork.core.consensus;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.Members;

/**
 * A replica's state for operators and metrics.
 *
 * @param group the group
 * @param role what the replica does
 * @param term newest term seen
 * @param leader the leader it knows, or null if none
 * @param commitIndex last index known to be agreed on
 * @param lastIndex last index of its log
 * @param syncedIndex last index that its disk holds for certain
 * @param snapshotIndex last index that its saved snapshot covers, 0 if there is none
 * @param members the members in its log
 * @param membersIndex index of the entry that gave them; agreed on once {@code commitIndex} covers
 *     it
 * @param instance number of the disk that the replica has now
 * @param storageFailed whether it has stopped voting because its disk failed
 */
public record GroupStatus(
    GroupId group,
    Role role,
    long term,
    @Nullable String leader,
    long commitIndex,
    long lastIndex,
    long syncedIndex,
    long snapshotIndex,
    Members members,
    long membersIndex,
    long instance,
    boolean storageFailed) {

  /** Returns whether the members in the log are known to be agreed on. */
  public boolean membersCommitted() {
    return membersIndex <= commitIndex;
  }
}
