package org.skylarkfork.core.command;

/**
 * A command to a replicated group, replicated through its log.
 *
 * <p>A command is applied on each replica in log order and must have the same result on each. It
 * carries a key that makes it idempotent, such as a change id or a claim key.
 */
public sealed interface Command
    permits GroupCommand, LedgerCommand, ConfigurationCommand, OrderCommand, RelayCommand {}
