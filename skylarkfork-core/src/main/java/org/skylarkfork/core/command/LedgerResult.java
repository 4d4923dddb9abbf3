package org.skylarkfork.core.command;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.event.LedgerEvent.ClaimState;
import org.skylarkfork.core.ledger.ClaimOutcome;
import org.skylarkfork.core.ledger.Statement;

/** Results of ledger commands. */
public sealed interface LedgerResult extends CommandResult {

  /**
   * The decision on a claim.
   *
   * @param state the decision
   * @param outcome the recorded outcome if the state is {@code RECORDED}, otherwise null
   */
  record ClaimDecided(ClaimState state, @Nullable ClaimOutcome outcome) implements LedgerResult {}

  /**
   * A claim was refused because the table of claims is full; nothing was recorded and the request
   * must not run.
   *
   * @param remedy what the submitter can do about it
   */
  record ClaimsFull(String remedy) implements LedgerResult {}

  /**
   * Bills were recorded.
   *
   * @param counted number of newly counted bills
   * @param duplicates number of bills that had been counted before
   */
  record BillsRecorded(int counted, int duplicates) implements LedgerResult {}

  /**
   * A statement was read.
   *
   * @param statement the team's statement
   */
  record StatementRead(Statement statement) implements LedgerResult {}
}
