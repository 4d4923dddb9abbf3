package org.skylarkfork.core.ledger;

import java.time.Instant;
import org.skylarkfork.core.request.CallerRequest;

/** Keeps claims and bills in the replicated group; answers come as {@code LedgerEvent}. */
public interface Ledger {

  /**
   * Claims the right to run a request that must run at most once.
   *
   * <p>{@code LedgerEvent.ClaimAnswered} follows; until it says that the claim is granted, no byte
   * of the request may go to an upstream.
   *
   * @param request the request
   * @param team name of the team
   * @param key the claim's key, unique within the team
   * @param now the present time
   */
  void claim(CallerRequest request, String team, String key, Instant now);

  /**
   * Records how a claimed request ended, so that a resend gets the same answer.
   *
   * <p>{@code LedgerEvent.OutcomeRecorded} follows.
   *
   * @param requestId id of the request
   * @param team name of the team
   * @param key the claim's key
   * @param outcome how it ended
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
   * Returns whether new work may start; if not, refuse it as not run.
   *
   * <p>False while the group has been out of reach for so long that the bills that wait for it fill
   * their bound.
   */
  default boolean acceptsWork() {
    return true;
  }

  /** Returns whether nothing of this entry waits for the ledger, so that it may stop. */
  default boolean isSettled() {
    return true;
  }
}
