package org.skylarkfork.core.command;

import java.util.List;
import org.skylarkfork.core.ledger.ClaimOutcome;
import org.skylarkfork.core.ledger.NumberedBill;

/** Commands on the claims and bills of a ledger group. */
public sealed interface LedgerCommand extends Command {

  /**
   * Claims a key for a request that may run at most once.
   *
   * @param team name of the team
   * @param key the claim's key, unique within the team
   * @param requestId id of the request; a retry of the same claim has the same id
   * @param bodyHash hash of the request's content, which detects a key reused for another request
   * @param entry node name of the entry that would run it
   * @param holdMillis time that the entry has to record an outcome, in milliseconds; afterwards a
   *     claim without an outcome is answered as unknown
   */
  record Claim(
      String team, String key, String requestId, String bodyHash, String entry, long holdMillis)
      implements LedgerCommand {}

  /**
   * Records the outcome of a claimed request, or releases a claim whose request didn't run.
   *
   * @param team name of the team
   * @param key the claim's key
   * @param requestId id of the request that holds the claim
   * @param outcome outcome of the request
   */
  record RecordOutcome(String team, String key, String requestId, ClaimOutcome outcome)
      implements LedgerCommand {}

  /**
   * Counts bills numbered by one process of an entry; each number counts once, even if several
   * daemons submit it.
   *
   * @param entry node name of the entry that made the bills
   * @param incarnation number of that entry's process
   * @param settledUpTo number up to which all bills are known to be counted
   * @param bills the bills
   */
  record RecordBills(String entry, long incarnation, long settledUpTo, List<NumberedBill> bills)
      implements LedgerCommand {

    /** Copies the bills. */
    public RecordBills {
      bills = List.copyOf(bills);
    }
  }

  /**
   * Reads a team's statement through the log, so that it includes each bill committed before.
   *
   * @param team name of the team
   */
  record ReadStatement(String team) implements LedgerCommand {}
}
