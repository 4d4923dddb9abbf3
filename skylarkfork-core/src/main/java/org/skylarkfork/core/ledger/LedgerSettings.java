package org.skylarkfork.core.ledger;

import java.time.Duration;

/**
 * How an entry uses the ledger.
 *
 * @param claimWait how long a claim may take before it is given up and the request refused
 * @param holdGrace how long after the caller's deadline a claim may still get its outcome
 * @param outcomeWait how long an answer waits until its outcome is recorded
 * @param billWait how long the last frame of a draft waits until its bill is committed
 * @param lookupWait how long a lookup waits for a backup before it waits for the commit
 * @param lookupWindow how long bills of lookups are collected before they are submitted
 * @param resubmitFor how long outcomes are submitted again while the group is out of reach
 * @param adoptAfter silence of an entry after which its backups submit the bills that they keep
 * @param pendingClaims most claims that wait at the same time; further ones are refused
 * @param bufferedBills most bills that wait for a commit; beyond it no new work is taken
 * @param batchBills most bills of one command
 * @param batchesInFlight most commands with bills that wait for their commit
 */
public record LedgerSettings(
    Duration claimWait,
    Duration holdGrace,
    Duration outcomeWait,
    Duration billWait,
    Duration lookupWait,
    Duration lookupWindow,
    Duration resubmitFor,
    Duration adoptAfter,
    int pendingClaims,
    int bufferedBills,
    int batchBills,
    int batchesInFlight) {

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
