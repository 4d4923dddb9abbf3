package org.skylarkfork.core.ledger;

import java.time.Duration;

/**
 * What a ledger group keeps and for how long; the same on every replica, or they would diverge.
 *
 * @param maxClaims most claims kept; further ones are refused before they run
 * @param maxBodyBytes largest recorded answer body, in bytes
 * @param maxTotalBodyBytes most bytes of recorded bodies; beyond it the oldest bodies are dropped
 * @param claimRetention how long a claim is kept after its outcome, or after it became unknown
 * @param releasedClaimRetention how long a claim that was given up as not run is kept, which is
 *     longer than a message can be late
 * @param maxBilledKeys most billed keys kept for each of drafts and lookups; the oldest go first
 * @param keyRetention how long billed keys of drafts and unsafe calls, and numbers of bills, are
 *     kept
 * @param lookupKeyRetention how long billed keys of lookups are kept
 */
public record LedgerBounds(
    int maxClaims,
    int maxBodyBytes,
    long maxTotalBodyBytes,
    Duration claimRetention,
    Duration releasedClaimRetention,
    int maxBilledKeys,
    Duration keyRetention,
    Duration lookupKeyRetention) {

  /** The bounds that daemons use. */
  public static final LedgerBounds DEFAULT =
      new LedgerBounds(
          100_000,
          64 * 1024,
          32L * 1024 * 1024,
          Duration.ofHours(24),
          Duration.ofMinutes(10),
          200_000,
          Duration.ofHours(24),
          Duration.ofHours(1));
}
