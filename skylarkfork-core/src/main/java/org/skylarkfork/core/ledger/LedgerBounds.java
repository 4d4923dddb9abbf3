package org.skylarkfork.core.ledger;

import java.time.Duration;

/**
 * Size limits and retention times of a ledger group; replicas with different bounds would diverge.
 *
 * @param maxClaims largest number of stored claims; further ones are refused before they run
 * @param maxBodyBytes largest recorded answer body, in bytes
 * @param maxTotalBodyBytes largest total size of recorded bodies, in bytes; above it the oldest
 *     bodies are dropped
 * @param claimRetention time for which a claim is kept after its outcome was recorded or became
 *     unknown
 * @param releasedClaimRetention time for which a claim that was released as not run is kept; longer
 *     than any message can be delayed
 * @param maxBilledKeys largest number of billed keys kept, for drafts and for lookups each; the
 *     oldest are removed first
 * @param keyRetention time for which billed keys of drafts and non-idempotent calls, and the
 *     sequence numbers of bills, are kept
 * @param lookupKeyRetention time for which billed keys of lookups are kept
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
