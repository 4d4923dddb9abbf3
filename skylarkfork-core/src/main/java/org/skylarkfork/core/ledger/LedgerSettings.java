package org.skylarkfork.core.ledger;

import java.time.Duration;

/**
 * How an entry uses the ledger.
 *
 * @param claimTimeout how long a claim may take before it is given up and the request refused
 * @param holdGrace how long after the caller's deadline a claim may still get its outcome
 * @param outcomeTimeout how long an answer waits until its outcome is recorded
 * @param billTimeout how long the last frame of a draft waits until its bill is committed
 * @param backupTimeout how long a lookup waits for a backup before it waits for the commit
 * @param lookupBatchWindow how long bills of lookups are collected before they are submitted
 * @param resubmitTimeout how long outcomes are submitted again while the group is out of reach
 * @param takeoverTimeout silence of an entry after which its backups submit the bills that they
 *     keep
 * @param maxPendingClaims most claims that wait at the same time; further ones are refused
 * @param maxBufferedBills most bills that wait for a commit; beyond it no new work is taken
 * @param maxBatchBills most bills of one command
 * @param maxBatchesInFlight most commands with bills that wait for their commit
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

  /** The settings that daemons use unless told otherwise. */
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
