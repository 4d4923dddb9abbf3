package org.skylarkfork.core.command;

/**
 * A change to a replicated group's state, agreed on through its log.
 *
 * <p>A command is applied on each replica in log order and must give the same result on each. It
 * carries the key that makes a second delivery harmless (a change id, a claim key).
 */
public sealed interface Command
    permits GroupCommand, LedgerCommand, ConfigurationCommand, OrderCommand, RelayCommand {}
