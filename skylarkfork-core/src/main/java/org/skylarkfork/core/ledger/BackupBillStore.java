package org.skylarkfork.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.LedgerCommand.RecordBills;
import org.skylarkfork.core.command.LedgerResult.BillsRecorded;
import org.skylarkfork.core.consensus.Submitter;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.LedgerMessage.BackupAcknowledged;
import org.skylarkfork.core.message.LedgerMessage.BackupBills;

/**
 * Stores the bills of other entries, and submits the bills of an owner that is lost.
 *
 * <p>An owner that is only slow may submit the same bills; by their sequence numbers each is
 * counted once.
 */
final class BackupBillStore {

  private static final Duration SUBMISSION_TIMEOUT = Duration.ofSeconds(5);

  private final LedgerSettings settings;
  private final Submitter submitter;
  private final Map<OwnerKey, OwnerBills> billsByOwner = new LinkedHashMap<>();
  private final Map<Long, Takeover> inFlight = new HashMap<>();

  BackupBillStore(LedgerSettings settings, Submitter submitter) {
    this.settings = settings;
    this.submitter = submitter;
  }

  /**
   * Stores an owner's bills and acknowledges them. Does neither if they come from an earlier run of
   * the owner or would exceed the buffer.
   */
  void onBackup(String owner, BackupBills message, Instant now, Output output) {
    if (isSuperseded(owner, message)) {
      return;
    }
    OwnerBills ownerBills =
        billsByOwner.computeIfAbsent(
            new OwnerKey(owner, message.incarnation(), message.group()),
            unused -> new OwnerBills());
    ownerBills.settle(message.settledUpTo());
    ownerBills.lastReceivedAt = now;
    if (message.bills().isEmpty()
        || ownerBills.bills.size() + message.bills().size() > settings.maxBufferedBills()) {
      return;
    }
    for (NumberedBill numbered : message.bills()) {
      ownerBills.bills.put(numbered.number(), numbered.bill());
    }
    long upTo = message.bills().get(message.bills().size() - 1).number();
    output.effect(
        new PeerEffect.SendToPeer(
            owner,
            new BackupAcknowledged(message.group(), message.incarnation(), message.round(), upTo)));
  }

  private boolean isSuperseded(String owner, BackupBills message) {
    boolean isSuperseded = false;
    for (Map.Entry<OwnerKey, OwnerBills> entry : billsByOwner.entrySet()) {
      OwnerKey key = entry.getKey();
      if (key.owner.equals(owner) && key.incarnation != message.incarnation()) {
        isSuperseded |= key.incarnation > message.incarnation();
        entry.getValue().isOrphaned |= key.incarnation < message.incarnation();
      }
    }
    return isSuperseded;
  }

  /**
   * Submits the bills of owners that are gone, have restarted or have sent nothing for {@link
   * LedgerSettings#takeoverTimeout}. The timeout also detects an owner that restarted before it was
   * considered dead.
   */
  void onTick(LivePeers peers, Instant now, Output output) {
    for (Map.Entry<OwnerKey, OwnerBills> entry : new ArrayList<>(billsByOwner.entrySet())) {
      OwnerBills ownerBills = entry.getValue();
      OwnerKey key = entry.getKey();
      boolean isSilent = !now.isBefore(ownerBills.lastReceivedAt.plus(settings.takeoverTimeout()));
      boolean isLost = ownerBills.isOrphaned || isSilent || peers.isGone(key.owner, now);
      if (isLost && ownerBills.bills.isEmpty()) {
        billsByOwner.remove(key);
      } else if (isLost && !ownerBills.isSubmitted) {
        submit(key, ownerBills, now, output);
      }
    }
  }

  private void submit(OwnerKey key, OwnerBills ownerBills, Instant now, Output output) {
    List<NumberedBill> batch = ownerBills.first(settings.maxBatchBills());
    ownerBills.isSubmitted = true;
    long id = submitter.newSubmissionId();
    inFlight.put(id, new Takeover(key, batch));
    submitter.submit(
        key.group,
        new RecordBills(key.owner, key.incarnation, ownerBills.settledUpTo, batch),
        id,
        now.plus(SUBMISSION_TIMEOUT),
        now,
        output);
    output.effect(
        new TraceEffect.LogLine(
            true, "ledger", "submits " + batch.size() + " bills of lost entry " + key.owner));
  }

  /**
   * Handles the result of a submission.
   *
   * @return whether the submission is one of this store's batches
   */
  boolean onAnswered(long submissionId, CommandResult result) {
    if (!(result instanceof BillsRecorded)) {
      return onFailed(submissionId);
    }
    Takeover takeover = inFlight.remove(submissionId);
    if (takeover == null) {
      return false;
    }
    OwnerBills ownerBills = billsByOwner.get(takeover.key);
    if (ownerBills != null) {
      ownerBills.isSubmitted = false;
      takeover.batch.forEach(numbered -> ownerBills.bills.remove(numbered.number()));
    }
    return true;
  }

  /**
   * Handles the failure of a submission; its bills are submitted again.
   *
   * @return whether the submission is one of this store's batches
   */
  boolean onFailed(long submissionId) {
    Takeover takeover = inFlight.remove(submissionId);
    if (takeover == null) {
      return false;
    }
    OwnerBills ownerBills = billsByOwner.get(takeover.key);
    if (ownerBills != null) {
      ownerBills.isSubmitted = false;
    }
    return true;
  }

  /** Returns the number of stored bills. */
  int size() {
    return billsByOwner.values().stream().mapToInt(ownerBills -> ownerBills.bills.size()).sum();
  }

  private record OwnerKey(String owner, long incarnation, GroupId group) {}

  private record Takeover(OwnerKey key, List<NumberedBill> batch) {}

  private static final class OwnerBills {
    private final TreeMap<Long, Bill> bills = new TreeMap<>();
    private long settledUpTo;
    private Instant lastReceivedAt = Instant.EPOCH;
    private boolean isOrphaned;
    private boolean isSubmitted;

    private void settle(long upTo) {
      settledUpTo = Math.max(settledUpTo, upTo);
      bills.headMap(settledUpTo, true).clear();
    }

    private List<NumberedBill> first(int maxBills) {
      List<NumberedBill> first = new ArrayList<>();
      for (Map.Entry<Long, Bill> entry : bills.entrySet()) {
        if (first.size() == maxBills) {
          break;
        }
        first.add(new NumberedBill(entry.getKey(), entry.getValue()));
      }
      return first;
    }
  }
}
