package org.skylarkfork.core.event;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupId;

/**
 * Events of the replicated groups for the other parts of the same daemon; raised within the
 * reducer.
 */
public sealed interface ConsensusEvent extends Event {

  /**
   * A command was applied to this daemon's replica. After a restart, the event is raised again for
   * each entry after the recovered snapshot.
   *
   * @param group the group
   * @param index log index
   * @param stampedAt time of the append on the leader's clock
   * @param command the command
   * @param result result of applying the command
   */
  record CommandCommitted(
      GroupId group, long index, Instant stampedAt, Command command, CommandResult result)
      implements ConsensusEvent {}

  /**
   * A command that this daemon submitted was applied.
   *
   * @param group the group
   * @param submissionId number assigned at the submission
   * @param result result of applying the command
   */
  record SubmissionAnswered(GroupId group, long submissionId, CommandResult result)
      implements ConsensusEvent {}

  /**
   * A command that this daemon submitted failed without a result.
   *
   * @param group the group
   * @param submissionId number assigned at the submission
   * @param mayHaveApplied false only if the command can never be applied; if true, a submission
   *     under the same key returns its result
   * @param remedy what the submitter can do, for people
   */
  record SubmissionFailed(GroupId group, long submissionId, boolean mayHaveApplied, String remedy)
      implements ConsensusEvent {}

  /**
   * The leader that this daemon's replica knows has changed.
   *
   * @param group the group
   * @param node node name of the new leader, or null if none is known
   * @param term the replica's term
   */
  record LeaderChanged(GroupId group, @Nullable String node, long term) implements ConsensusEvent {}

  /**
   * The state machine was replaced by a snapshot that was recovered from disk or sent by the
   * leader.
   *
   * @param group the group
   * @param index last index that the snapshot covers
   */
  record GroupRestored(GroupId group, long index) implements ConsensusEvent {}
}
