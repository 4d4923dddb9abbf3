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
    boolean storageFailed) {}
