package org.skylarkfork.core.ledger;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A claim as a ledger group stores it.
 *
 * @param claimKey key that identifies the claim
 * @param requestId id of the request that holds the claim or held it last
 * @param bodyHash hash over the content of the request, see {@link RequestHash}; empty if the claim
 *     was released before it arrived
 * @param entry node name of the entry that runs the request; empty if the claim was released before
 *     it arrived
 * @param unknownFrom ledger time from which the outcome of a claim without a recorded outcome is
 *     unknown
 * @param outcome how the request ended, or null if no outcome is recorded
 * @param expiresAt ledger time at which the record is removed
 * @param released ids of the requests whose claims were released as not run, newest last
 */
public record ClaimRecord(
    ClaimKey claimKey,
    String requestId,
    String bodyHash,
    String entry,
    Instant unknownFrom,
    @Nullable ClaimOutcome outcome,
    Instant expiresAt,
    List<String> released) {

  /** Copies the list. */
  public ClaimRecord {
    released = List.copyOf(released);
  }

  /** Returns whether a new request may claim the key. */
  boolean isFree() {
    return outcome instanceof ClaimOutcome.NotRun;
  }

  /** Returns the size of the recorded body in bytes, or 0 if there is none. */
  int bodyBytes() {
    return outcome instanceof ClaimOutcome.Answered answered ? answered.body().value().length : 0;
  }
}
