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
 * Other entries' bills, which this entry submits if they are lost first.
 *
 * <p>An owner that is only slow may submit the same bills; their numbers make them count once.
 */
final class BackupBillStore {

  private static final Duration BATCH_TRY = Duration.ofSeconds(5);

  private final LedgerSettings settings;
  private final Submitter submitter;
  private final Map<HeldKey, Held> all = new LinkedHashMap<>();
  private final Map<Long, Adopted> inFlight = new HashMap<>();

  BackupBillStore(LedgerSettings settings, Submitter submitter) {
    this.settings = settings;
    this.submitter = submitter;
  }

  /** Keeps an owner's bills and says so. */
  void onBackup(String owner, BackupBills message, Instant now, Output output) {
    if (isOld(owner, message)) {
      return;
    }
    Held held =
        all.computeIfAbsent(
            new HeldKey(owner, message.incarnation(), message.group()), unused -> new Held());
    held.settle(message.settledUpTo());
    held.heardAt = now;
    if (message.bills().isEmpty()
        || held.bills.size() + message.bills().size() > settings.maxBufferedBills()) {
      return;
    }
    for (NumberedBill numbered : message.bills()) {
      held.bills.put(numbered.number(), numbered.bill());
    }
    long upTo = message.bills().get(message.bills().size() - 1).number();
    output.effect(
        new PeerEffect.SendToPeer(
            owner,
            new BackupAcknowledged(message.group(), message.incarnation(), message.round(), upTo)));
  }

  private boolean isOld(String owner, BackupBills message) {
    boolean isOld = false;
    for (Map.Entry<HeldKey, Held> entry : all.entrySet()) {
      HeldKey key = entry.getKey();
      if (key.owner.equals(owner) && key.incarnation != message.incarnation()) {
        isOld |= key.incarnation > message.incarnation();
        entry.getValue().isOrphaned |= key.incarnation < message.incarnation();
      }
    }
    return isOld;
  }

  /**
   * Submits the bills of owners that are gone, have restarted or say nothing of bills that are long
   * due; the last also finds an owner that restarted before anyone held it to be gone.
   */
  void onTick(LivePeers peers, Instant now, Output output) {
    for (Map.Entry<HeldKey, Held> entry : new ArrayList<>(all.entrySet())) {
      Held held = entry.getValue();
      HeldKey key = entry.getKey();
      boolean isSilent = !now.isBefore(held.heardAt.plus(settings.takeoverTimeout()));
      boolean isLost = held.isOrphaned || isSilent || peers.isGone(key.owner, now);
      if (isLost && held.bills.isEmpty()) {
        all.remove(key);
      } else if (isLost && !held.isSubmitted) {
        submit(key, held, now, output);
      }
    }
  }

  private void submit(HeldKey key, Held held, Instant now, Output output) {
    List<NumberedBill> batch = held.first(settings.maxBatchBills());
    held.isSubmitted = true;
    long id = submitter.newSubmissionId();
    inFlight.put(id, new Adopted(key, batch));
    submitter.submit(
        key.group,
        new RecordBills(key.owner, key.incarnation, held.settledUpTo, batch),
        id,
        now.plus(BATCH_TRY),
        now,
        output);
    output.effect(
        new TraceEffect.LogLine(
            true, "ledger", "submits " + batch.size() + " bills of lost entry " + key.owner));
  }

  /** Takes the result of a batch and returns whether the submission was one of these. */
  boolean onAnswered(long submissionId, CommandResult result) {
    if (!(result instanceof BillsRecorded)) {
      return onFailed(submissionId);
    }
    Adopted adopted = inFlight.remove(submissionId);
    if (adopted == null) {
      return false;
    }
    Held held = all.get(adopted.key);
    if (held != null) {
      held.isSubmitted = false;
      adopted.batch.forEach(numbered -> held.bills.remove(numbered.number()));
    }
    return true;
  }

  /**
   * Takes the failure of a batch, which goes out again, and returns whether it was one of these.
   */
  boolean onFailed(long submissionId) {
    Adopted adopted = inFlight.remove(submissionId);
    if (adopted == null) {
      return false;
    }
    Held held = all.get(adopted.key);
    if (held != null) {
      held.isSubmitted = false;
    }
    return true;
  }

  /** Returns how many bills are kept. */
  int size() {
    return all.values().stream().mapToInt(held -> held.bills.size()).sum();
  }

  private record HeldKey(String owner, long incarnation, GroupId group) {}

  private record Adopted(HeldKey key, List<NumberedBill> batch) {}

  private static final class Held {
    private final TreeMap<Long, Bill> bills = new TreeMap<>();
    private long settledUpTo;
    private Instant heardAt = Instant.EPOCH;
    private boolean isOrphaned;
    private boolean isSubmitted;

    private void settle(long upTo) {
      settledUpTo = Math.max(settledUpTo, upTo);
      bills.headMap(settledUpTo, true).clear();
    }

    private List<NumberedBill> first(int most) {
      List<NumberedBill> first = new ArrayList<>();
      for (Map.Entry<Long, Bill> entry : bills.entrySet()) {
        if (first.size() == most) {
          break;
        }
        first.add(new NumberedBill(entry.getKey(), entry.getValue()));
      }
      return first;
    }
  }
}
