package org.skylarkfork.core.command;

/** The whole state of a replicated group, as stored in a snapshot. */
public sealed interface GroupState
    permits GroupState.Empty,
        LedgerState,
        ConfigurationState,
        OrderState,
        CompositeState,
        RelayState {

  /** The state of a group that has applied no command yet. */
  record Empty() implements GroupState {}
}
