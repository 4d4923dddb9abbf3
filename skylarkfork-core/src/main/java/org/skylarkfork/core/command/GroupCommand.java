package org.skylarkfork.core.command;

import java.util.List;

/** Commands that a group needs for itself, whatever state it replicates. */
public sealed interface GroupCommand extends Command {

  /** Commits the entries of earlier terms when a leader takes office. */
  record NoOperation() implements GroupCommand {}

  /**
   * Replaces the group's members, one member at a time.
   *
   * @param voters node names that count for the quorum
   * @param learners node names that copy the log without counting
   */
  record ChangeMembers(List<String> voters, List<String> learners) implements GroupCommand {

    /** Copies both lists. */
    public ChangeMembers {
      voters = List.copyOf(voters);
      learners = List.copyOf(learners);
    }
  }
}
