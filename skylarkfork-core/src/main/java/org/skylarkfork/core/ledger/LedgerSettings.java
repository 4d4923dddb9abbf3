package org.skylarkfork.core.ledger;

import java.time.Duration;

/**
 * Timeouts and limits of an entry's use of the ledger.
 *
 * @param claimTimeout time after which an undecided claim is abandoned and its request refused
 * @param holdGrace time after the caller's deadline for which the outcome of a claim may still be
 *     recorded
 * @param outcomeTimeout longest time for which an answer waits until its outcome is recorded
 * @param billTimeout longest time for which the last frame of a draft waits for the commit of its
 *     bill
 * @param backupTimeout longest time for which a lookup waits for the acknowledgement of a backup;
 *     after it the lookup waits for the commit
 * @param lookupBatchWindow time for which bills of lookups are collected before they are submitted
 * @param resubmitTimeout time for which outcomes are submitted again while the group is unreachable
 * @param takeoverTimeout time without a message from an entry after which its backups submit its
 *     bills
 * @param maxPendingClaims largest number of concurrent undecided claims; further ones are refused
 * @param maxBufferedBills largest number of uncommitted bills; at this number no new work is
 *     accepted
 * @param maxBatchBills largest number of bills in one command
 * @param maxBatchesInFlight largest number of uncommitted commands with bills, for each group
 */
public record LedgerSettings(
    Duration claimTimeout,
    Duration holdGrace,
    Duration outcomeTimeout,
    Duration billTimeout,
    Duration backupTimeout,
    Duration lookupBatchWindow,
    Duration resubmitTimeout,
    Duration takeoverTimeout,
    int maxPendingClaims,
    int maxBufferedBills,
    int maxBatchBills,
    int maxBatchesInFlight) {

  /** The settings that daemons use by default. */
  public static final LedgerSettings DEFAULT =
      new LedgerSettings(
          Duration.ofSeconds(2),
          Duration.ofSeconds(10),
          Duration.ofSeconds(2),
          Duration.ofSeconds(2),
          Duration.ofMillis(20),
          Duration.ofMillis(200),
          Duration.ofMinutes(10),
          Duration.ofSeconds(10),
          10_000,
          50_000,
          512,
          2);
}
