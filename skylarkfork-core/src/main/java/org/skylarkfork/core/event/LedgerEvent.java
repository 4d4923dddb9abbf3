package org.skylarkfork.core.event;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.ledger.ClaimOutcome;

/** Answers of the ledger; raised within the reducer. */
public sealed interface LedgerEvent extends Event {

  /**
   * A claim was decided.
   *
   * @param requestId id of the request that claimed
   * @param state what was decided
   * @param outcome the recorded outcome, only if the state is {@code RECORDED}
   */
  record ClaimAnswered(String requestId, ClaimState state, @Nullable ClaimOutcome outcome)
      implements LedgerEvent {}

  /** What a claim gave. */
  enum ClaimState {
    /** This request alone may run. */
    GRANTED,
    /** Another request with the same key has the claim and no outcome yet. */
    IN_PROGRESS,
    /** Another request with the same key has ended. */
    RECORDED,
    /** The key was used for a request with another body. */
    MISMATCH,
    /** The group could not be reached; the claim may or may not stand, and nothing was run. */
    UNAVAILABLE
  }

  /**
   * An outcome was recorded, or it is certain that it can't be in time.
   *
   * @param requestId id of the request
   * @param durable whether it is committed
   */
  record OutcomeRecorded(String requestId, boolean durable) implements LedgerEvent {}

  /**
   * A bill is safe, or it is certain that it can't be in time.
   *
   * @param requestId id of the request
   * @param durable whether it is committed or, for a lookup, kept by a backup
   */
  record Billed(String requestId, boolean durable) implements LedgerEvent {}
}
