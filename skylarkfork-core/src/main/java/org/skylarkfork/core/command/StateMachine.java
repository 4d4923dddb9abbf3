package org.skylarkfork.core.command;

import java.time.Instant;

/** The state that a group replicates; touched by the reducer's thread only. */
public interface StateMachine {

  /**
   * Applies a committed command.
   *
   * @param index log index of the command
   * @param stampedAt the leader's time at the append, the only time a state machine may use
   * @param command a command of the group's family
   * @return the same result on every replica
   */
  CommandResult apply(long index, Instant stampedAt, Command command);

  /** Returns the whole state for a snapshot. */
  GroupState snapshot();

  /** Replaces the whole state by that of a snapshot. */
  void restore(GroupState state);
}
