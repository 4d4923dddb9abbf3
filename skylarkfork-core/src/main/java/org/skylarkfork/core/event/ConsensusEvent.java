package org.skylarkfork.core.event;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupId;

/** What the replicated groups tell the other parts of the same daemon. */
public sealed interface ConsensusEvent extends Event {

  /**
   * A command was applied to this daemon's replica. After a restart it comes again for each entry
   * after the recovered snapshot.
   *
   * @param group the group
   * @param index log index
   * @param stampedAt the leader's time at the append
   * @param command the command
   * @param result what applying it gave
   */
  record CommandCommitted(
      GroupId group, long index, Instant stampedAt, Command command, CommandResult result)
      implements ConsensusEvent {}

  /**
   * A command that this daemon submitted was applied.
   *
   * @param group the group
   * @param submissionId number given at the submission
   * @param result what applying it gave
   */
  record SubmissionAnswered(GroupId group, long submissionId, CommandResult result)
      implements ConsensusEvent {}

  /**
   * A command that this daemon submitted got no result.
   *
   * @param group the group
   * @param submissionId number given at the submission
   * @param mayHaveApplied false only if the command can never be applied; if true, submit it again
   *     under the same key to learn its result
   * @param remedy what the submitter can do
   */
  record SubmissionFailed(GroupId group, long submissionId, boolean mayHaveApplied, String remedy)
      implements ConsensusEvent {}

  /**
   * This daemon's replica knows another leader than before.
   *
   * @param group the group
   * @param node the leader, or null if none is known
   * @param term the replica's term
   */
  record LeaderChanged(GroupId group, @Nullable String node, long term) implements ConsensusEvent {}

  /**
   * The state machine was replaced by a snapshot, recovered from disk or sent by the leader.
   *
   * @param group the group
   * @param index last index that the snapshot covers
   */
  record GroupRestored(GroupId group, long index) implements ConsensusEvent {}
}
