package org.skylarkfork.core.command;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.event.LedgerEvent.ClaimState;
import org.skylarkfork.core.ledger.ClaimOutcome;
import org.skylarkfork.core.ledger.Statement;

/** What a ledger command gave. */
public sealed interface LedgerResult extends CommandResult {

  /**
   * A claim was decided.
   *
   * @param state what was decided
   * @param outcome the recorded outcome, only if the state is {@code RECORDED}
   */
  record ClaimDecided(ClaimState state, @Nullable ClaimOutcome outcome) implements LedgerResult {}

  /**
   * A claim was refused since the table is full; nothing was recorded and nothing may run.
   *
   * @param remedy what the submitter can do about it
   */
  record ClaimsFull(String remedy) implements LedgerResult {}

  /**
   * Bills were taken in.
   *
   * @param counted how many count now
   * @param duplicates how many had been counted before
   */
  record BillsRecorded(int counted, int duplicates) implements LedgerResult {}

  /**
   * A statement was read.
   *
   * @param statement the team's statement
   */
  record StatementRead(Statement statement) implements LedgerResult {}
}
