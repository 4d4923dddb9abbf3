package org.skylarkfork.core.event;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.ledger.ClaimOutcome;

/** Results of the ledger's operations; raised within the reducer by the ledger part. */
public sealed interface LedgerEvent extends Event {

  /**
   * A claim of an idempotency key was decided.
   *
   * @param requestId id of the request that claimed the key
   * @param state decision on the claim
   * @param outcome the recorded outcome if the state is {@code RECORDED}, else null
   */
  record ClaimAnswered(String requestId, ClaimState state, @Nullable ClaimOutcome outcome)
      implements LedgerEvent {}

  /** The decision on a claim. */
  enum ClaimState {
    /** The request holds the claim and is the only one with its key that may run. */
    GRANTED,
    /** Another request with the same key holds the claim and has no outcome yet. */
    IN_PROGRESS,
    /** Another request with the same key has ended, and its outcome is recorded. */
    RECORDED,
    /** The key was used for a request with another body. */
    MISMATCH,
    /**
     * The ledger group could not be reached; the claim may have been granted, but nothing was run.
     */
    UNAVAILABLE
  }

  /**
   * An outcome was recorded, or can no longer be recorded in time.
   *
   * @param requestId id of the request
   * @param durable whether the outcome is committed
   */
  record OutcomeRecorded(String requestId, boolean durable) implements LedgerEvent {}

  /**
   * A bill was stored durably, or can no longer be stored in time.
   *
   * @param requestId id of the request
   * @param durable whether the bill is committed or, for a lookup, retained by a backup
   */
  record Billed(String requestId, boolean durable) implements LedgerEvent {}
}
