package org.skylarkfork.core.command;

/** The result of an applied command, returned to the daemon that submitted it. */
public sealed interface CommandResult
    permits CommandResult.Done,
        CommandResult.Rejected,
        LedgerResult,
        ConfigurationResult,
        OrderResult,
        RelayResult {

  /** The command was applied and has no further result. */
  record Done() implements CommandResult {}

  /**
   * The command was rejected and changed nothing.
   *
   * @param remedy what the submitter can do about it
   */
  record Rejected(String remedy) implements CommandResult {}
}
