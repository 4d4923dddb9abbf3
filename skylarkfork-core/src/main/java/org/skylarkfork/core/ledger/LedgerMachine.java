package org.skylarkfork.core.ledger;

import java.time.Instant;
import java.util.ArrayList;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupState;
import org.skylarkfork.core.command.LedgerCommand;
import org.skylarkfork.core.command.LedgerResult;
import org.skylarkfork.core.command.LedgerState;
import org.skylarkfork.core.command.StateMachine;
import org.skylarkfork.core.request.Header;

/** State machine of one ledger group: claims, bills and statements. */
public final class LedgerMachine implements StateMachine {

  /** Header of a recorded answer whose body was dropped, which marks the answer as incomplete. */
  public static final Header BODY_DROPPED = new Header("skylarkfork-recorded-body", "dropped");

  private final BoundedStepClock time = new BoundedStepClock();
  private final ClaimTable claims;
  private final BillAggregator bills;

  /**
   * Creates an empty ledger.
   *
   * @param bounds size limits and retention times; the same on every replica
   */
  public LedgerMachine(LedgerBounds bounds) {
    claims = new ClaimTable(bounds);
    bills = new BillAggregator(bounds);
  }

  @Override
  public CommandResult apply(long index, Instant stampedAt, Command command) {
    Instant present = time.advance(stampedAt);
    claims.expire(present);
    bills.expire(present);
    if (command instanceof LedgerCommand.Claim claim) {
      return claims.claim(claim, present);
    }
    if (command instanceof LedgerCommand.RecordOutcome outcome) {
      return claims.recordOutcome(outcome, present);
    }
    if (command instanceof LedgerCommand.RecordBills batch) {
      return bills.record(batch, stampedAt, present);
    }
    if (command instanceof LedgerCommand.ReadStatement read) {
      return new LedgerResult.StatementRead(bills.statement(read.team()));
    }
    return new CommandResult.Rejected("this group takes ledger commands only");
  }

  /** Returns a team's statement from the commands that this replica has applied. */
  public Statement statement(String team) {
    return bills.statement(team);
  }

  @Override
  public GroupState snapshot() {
    return new LedgerState(
        time.stampedAt(),
        time.time(),
        new ArrayList<>(claims.all()),
        bills.keys(),
        bills.lookupKeys(),
        bills.counted(),
        bills.allLines());
  }

  @Override
  public void restore(GroupState state) {
    LedgerState ledger = state instanceof LedgerState known ? known : emptyState();
    time.restore(ledger.stampedAt(), ledger.time());
    claims.restore(ledger.claims());
    bills.restore(ledger.counted(), ledger.keys(), ledger.lookupKeys(), ledger.lines());
  }

  private static LedgerState emptyState() {
    return (LedgerState) new LedgerMachine(LedgerBounds.DEFAULT).snapshot();
  }
}
