package org.skylarkfork.core.command;

import java.util.List;

/**
 * The states of several state machines that share one group.
 *
 * @param states the states in the order of the machines
 */
public record CompositeState(List<GroupState> states) implements GroupState {

  /** Copies the list. */
  public CompositeState {
    states = List.copyOf(states);
  }
}
