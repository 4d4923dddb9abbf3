package org.skylarkfork.core.command;

import java.time.Instant;

/** The state machine that a group replicates; accessed only by the reducer's thread. */
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

  /** Replaces the whole state with that of a snapshot. */
  void restore(GroupState state);
}
