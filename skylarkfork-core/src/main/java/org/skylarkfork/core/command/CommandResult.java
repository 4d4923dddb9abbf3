package org.skylarkfork.core.command;

/** What applying a command gave, sent back to the daemon that submitted it. */
public sealed interface CommandResult
    permits CommandResult.Done,
        CommandResult.Rejected,
        LedgerResult,
        ConfigurationResult,
        OrderResult,
        RelayResult {

  /** The command took effect and has nothing more to say. */
  record Done() implements CommandResult {}

  /**
   * The command was refused and changed nothing.
   *
   * @param remedy what the submitter can do about it
   */
  record Rejected(String remedy) implements CommandResult {}
}
