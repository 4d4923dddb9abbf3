package org.skylarkfork.core.ledger;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One claim as the group remembers it.
 *
 * @param claimKey what it is known by
 * @param requestId id of the request that holds it or held it last
 * @param bodyHash hash over what the request asks for; empty if the claim was given up before it
 *     arrived
 * @param entry node name of the entry that runs it
 * @param unknownFrom when a claim without outcome becomes unknown
 * @param outcome how it ended, or null if that is not recorded
 * @param expiresAt when the record is dropped
 * @param released ids of requests that gave the claim up as not run, newest last
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

  /** Returns whether a new request may take the claim. */
  boolean isFree() {
    return outcome instanceof ClaimOutcome.NotRun;
  }

  /** Returns the size of the recorded body in bytes. */
  int bodyBytes() {
    return outcome instanceof ClaimOutcome.Answered answered ? answered.body().value().length : 0;
  }
}
