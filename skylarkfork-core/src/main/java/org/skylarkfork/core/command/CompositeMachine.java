package org.skylarkfork.core.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * A state machine that combines several machines in one group, each with its own family of
 * commands.
 */
public final class CompositeMachine implements StateMachine {

  private final List<Route> routes;

  /**
   * Creates the machine.
   *
   * @param routes the machines; append new ones at the end, since snapshots identify them by index
   */
  public CompositeMachine(List<Route> routes) {
    this.routes = List.copyOf(routes);
  }

  /**
   * A machine and the commands routed to it.
   *
   * @param family type of the commands that the machine handles
   * @param machine the machine
   */
  public record Route(Class<? extends Command> family, StateMachine machine) {}

  @Override
  public CommandResult apply(long index, Instant stampedAt, Command command) {
    for (Route route : routes) {
      if (route.family().isInstance(command)) {
        return route.machine().apply(index, stampedAt, command);
      }
    }
    return new CommandResult.Rejected(
        "this group doesn't know "
            + command.getClass().getSimpleName()
            + "; submit it to the group of its family");
  }

  @Override
  public GroupState snapshot() {
    List<GroupState> states = new ArrayList<>();
    routes.forEach(route -> states.add(route.machine().snapshot()));
    return new CompositeState(states);
  }

  /**
   * Restores each machine; a state that isn't composite is restored as that of the first machine.
   */
  @Override
  public void restore(GroupState state) {
    List<GroupState> states =
        state instanceof CompositeState composite ? composite.states() : List.of(state);
    for (int position = 0; position < routes.size(); position++) {
      GroupState machineState =
          position < states.size() ? states.get(position) : new GroupState.Empty();
      routes.get(position).machine().restore(machineState);
    }
  }
}
