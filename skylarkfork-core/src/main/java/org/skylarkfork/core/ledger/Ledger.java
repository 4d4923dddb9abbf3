package org.skylarkfork.core.ledger;

import java.time.Instant;
import org.skylarkfork.core.request.CallerRequest;

/** Records claims and bills in the replicated groups; results are raised as {@code LedgerEvent}. */
public interface Ledger {

  /**
   * Claims the right to run a request that must run at most once.
   *
   * <p>{@code LedgerEvent.ClaimAnswered} follows. No byte of the request may be sent to an upstream
   * before that event reports that the claim is granted.
   *
   * @param request the request
   * @param team name of the team
   * @param key the claim's key, unique within the team
   * @param now the present time
   */
  void claim(CallerRequest request, String team, String key, Instant now);

  /**
   * Records how a claimed request ended, so that a resend receives the same answer.
   *
   * <p>{@code LedgerEvent.OutcomeRecorded} follows.
   *
   * @param requestId id of the request
   * @param team name of the team
   * @param key the claim's key
   * @param outcome how the request ended
   * @param now the present time
   */
  void recordOutcome(String requestId, String team, String key, ClaimOutcome outcome, Instant now);

  /**
   * Bills a request; a second bill with the same key adds nothing.
   *
   * <p>{@code LedgerEvent.Billed} follows once it is safe to send the last frame of the answer.
   *
   * @param bill the bill
   * @param now the present time
   */
  void bill(Bill bill, Instant now);

  /**
   * Returns whether new work may start; if false, the caller refuses new requests as not run.
   *
   * <p>False while the uncommitted bills fill their buffer, because a group has been unreachable
   * for too long.
   */
  default boolean acceptsWork() {
    return true;
  }

  /**
   * Returns whether no claim, outcome or bill of this entry is pending, so that the entry may stop.
   */
  default boolean isSettled() {
    return true;
  }
}
