package org.skylarkfork.core.command;

import java.util.List;
import org.skylarkfork.core.ledger.ClaimOutcome;
import org.skylarkfork.core.ledger.NumberedBill;

/** Changes to the claims and bills that a ledger group keeps. */
public sealed interface LedgerCommand extends Command {

  /**
   * Claims a key for a request that may run at most once.
   *
   * @param team name of the team
   * @param key the claim's key, unique within the team
   * @param requestId id of the request; a repeat of the same claim has the same
   * @param bodyHash hash over what the request asks for, to find a key used twice
   * @param entry node name of the entry that would run it
   * @param holdMillis how long the entry may take until an outcome, in milliseconds; after it a
   *     claim without outcome is answered as unknown
   */
  record Claim(
      String team, String key, String requestId, String bodyHash, String entry, long holdMillis)
      implements LedgerCommand {}

  /**
   * Records how a claimed request ended, or gives up a claim as not run.
   *
   * @param team name of the team
   * @param key the claim's key
   * @param requestId id of the request that holds the claim
   * @param outcome how it ended
   */
  record RecordOutcome(String team, String key, String requestId, ClaimOutcome outcome)
      implements LedgerCommand {}

  /**
   * Counts bills that one run of one entry numbered; each number counts once, whoever submits it.
   *
   * @param entry node name of the entry that made the bills
   * @param incarnation number of that entry's process
   * @param settledUpTo all numbers up to this one are known to be counted
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
   * Reads a team's statement through the log, so that it holds each bill committed before.
   *
   * @param team name of the team
   */
  record ReadStatement(String team) implements LedgerCommand {}
}
