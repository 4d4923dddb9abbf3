package org.skylarkfork.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
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
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.LedgerEvent.Billed;

/**
 * Buffers an entry's bills for one ledger group until they are committed.
 *
 * <p>Bills on which a caller waits are submitted at once while fewer batches than the limit are in
 * flight; otherwise they are collected for the next batch, so the batches grow with the load and
 * the wait does not. Bills of lookups are collected for {@link LedgerSettings#lookupBatchWindow},
 * since a backup stores them.
 */
final class EntryBills {

  private static final Duration SUBMISSION_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration LATE_RETENTION = Duration.ofMinutes(10);

  private final LedgerSettings settings;
  private final String entry;
  private final long incarnation;
  private final GroupId group;
  private final Submitter submitter;
  private final TreeMap<Long, Bill> unsettled = new TreeMap<>();
  private final Map<Long, WaitingAnswer> waitingAnswers = new LinkedHashMap<>();
  private final Map<Long, List<NumberedBill>> inFlight = new HashMap<>();
  private final Map<String, Long> numberByRequest = new HashMap<>();
  private final Map<String, Instant> settledAfterTimeout = new LinkedHashMap<>();
  private final List<Billed> alreadySettled = new ArrayList<>();
  private final List<List<NumberedBill>> failedBatches = new ArrayList<>();
  private final Deque<List<NumberedBill>> retryBatches = new ArrayDeque<>();
  private final NumberSet settled = new NumberSet(0, List.of());
  private long lastNumber;
  private long submittedUpTo;
  private boolean isUrgent;
  private Instant oldestUnsubmitted = Instant.MAX;

  EntryBills(
      LedgerSettings settings, String entry, long incarnation, GroupId group, Submitter submitter) {
    this.settings = settings;
    this.entry = entry;
    this.incarnation = incarnation;
    this.group = group;
    this.submitter = submitter;
  }

  /**
   * Assigns a sequence number to a bill, or waits again for a bill that was added before.
   *
   * <p>A request whose answer timed out adds its bill again. Under a second number the bill would
   * be counted twice, since a bill without a caller's key is identified by its number only.
   *
   * @param hasBackup whether a backup can store the bill until it is committed
   */
  void add(Bill bill, boolean hasBackup, Instant now) {
    Long known = numberByRequest.get(bill.requestId());
    if (known != null) {
      await(known, bill, hasBackup, now);
      return;
    }
    if (settledAfterTimeout.remove(bill.requestId()) != null) {
      alreadySettled.add(new Billed(bill.requestId(), true));
      return;
    }
    lastNumber++;
    unsettled.put(lastNumber, bill);
    numberByRequest.put(bill.requestId(), lastNumber);
    await(lastNumber, bill, hasBackup, now);
    isUrgent |= !bill.lookup();
    if (now.isBefore(oldestUnsubmitted)) {
      oldestUnsubmitted = now;
    }
  }

  /**
   * Holds an answer until its bill is safe.
   *
   * <p>A lookup's bill is safe as soon as one backup stores it. If an entry that is partitioned
   * from its backups sent answers and crashed before the partition ends, the bills of these answers
   * would be lost and missing from the statement. So if no backup acknowledges in time, a lookup
   * waits for the commit as a draft does. An entry that reaches neither its backups nor the group
   * soon loses its lease anyway.
   */
  private void await(long number, Bill bill, boolean hasBackup, Instant now) {
    boolean awaitsBackup = bill.lookup() && hasBackup;
    Duration timeout = awaitsBackup ? settings.backupTimeout() : settings.billTimeout();
    isUrgent |= bill.lookup() && !hasBackup;
    waitingAnswers.put(
        number,
        new WaitingAnswer(bill.requestId(), now.plus(timeout), bill.lookup(), awaitsBackup));
  }

  /**
   * Submits the batches that are due.
   *
   * @param hasBackup whether a backup stores the bills meanwhile, so that bills of lookups may be
   *     collected
   */
  void drain(boolean hasBackup, Instant now, Output output) {
    alreadySettled.forEach(output::raise);
    alreadySettled.clear();
    while (inFlight.size() < settings.maxBatchesInFlight() && isDue(hasBackup, now)) {
      List<NumberedBill> batch = retryBatches.isEmpty() ? nextBatch() : retryBatches.removeFirst();
      submit(batch, now, output);
    }
  }

  private boolean isDue(boolean hasBackup, Instant now) {
    if (!retryBatches.isEmpty()) {
      return true;
    }
    if (submittedUpTo == lastNumber) {
      return false;
    }
    return isUrgent
        || !hasBackup
        || lastNumber - submittedUpTo >= settings.maxBatchBills()
        || !now.isBefore(oldestUnsubmitted.plus(settings.lookupBatchWindow()));
  }

  private List<NumberedBill> nextBatch() {
    List<NumberedBill> batch = after(submittedUpTo, settings.maxBatchBills());
    submittedUpTo = batch.get(batch.size() - 1).number();
    if (submittedUpTo == lastNumber) {
      isUrgent = false;
      oldestUnsubmitted = Instant.MAX;
    }
    return batch;
  }

  private void submit(List<NumberedBill> batch, Instant now, Output output) {
    long id = submitter.newSubmissionId();
    inFlight.put(id, batch);
    RecordBills command = new RecordBills(entry, incarnation, settled.upTo(), batch);
    submitter.submit(group, command, id, now.plus(SUBMISSION_TIMEOUT), now, output);
    output.effect(new TraceEffect.Observe("ledger_batch_bills", "", batch.size()));
  }

  /**
   * Handles the result of a submission.
   *
   * @return whether the submission is one of this object's batches
   */
  boolean onAnswered(long submissionId, CommandResult result, Instant now, Output output) {
    if (!(result instanceof BillsRecorded)) {
      return onFailed(submissionId);
    }
    List<NumberedBill> batch = inFlight.remove(submissionId);
    if (batch == null) {
      return false;
    }
    for (NumberedBill numbered : batch) {
      settle(numbered, now, output);
    }
    return true;
  }

  private void settle(NumberedBill numbered, Instant now, Output output) {
    String requestId = numbered.bill().requestId();
    unsettled.remove(numbered.number());
    numberByRequest.remove(requestId);
    settled.add(numbered.number());
    WaitingAnswer answer = waitingAnswers.remove(numbered.number());
    if (answer != null) {
      output.raise(new Billed(requestId, true));
    } else if (!numbered.bill().lookup()) {
      settledAfterTimeout.put(requestId, now.plus(LATE_RETENTION));
    }
  }

  /**
   * Handles the failure of a submission.
   *
   * <p>Its batch is submitted again after the next tick, not before: a submission that fails at
   * once would otherwise keep the reducer processing one event forever.
   *
   * @return whether the submission is one of this object's batches
   */
  boolean onFailed(long submissionId) {
    List<NumberedBill> batch = inFlight.remove(submissionId);
    if (batch != null) {
      failedBatches.add(batch);
    }
    return batch != null;
  }

  /**
   * Releases the answers of lookups whose bills a backup stores.
   *
   * @param upTo number up to which the backup stores all bills
   */
  void onBackedUp(long upTo, Output output) {
    var inOrder = waitingAnswers.entrySet().iterator();
    while (inOrder.hasNext()) {
      Map.Entry<Long, WaitingAnswer> next = inOrder.next();
      if (next.getKey() > upTo) {
        return;
      }
      if (next.getValue().isLookup) {
        inOrder.remove();
        output.raise(new Billed(next.getValue().requestId, true));
      }
    }
  }

  /**
   * Handles the answers whose wait has timed out, and queues failed batches to be submitted again.
   */
  void onTick(Instant now, Output output) {
    retryBatches.addAll(failedBatches);
    failedBatches.clear();
    settledAfterTimeout.values().removeIf(expiry -> !now.isBefore(expiry));
    var inOrder = waitingAnswers.entrySet().iterator();
    while (inOrder.hasNext()) {
      Map.Entry<Long, WaitingAnswer> next = inOrder.next();
      WaitingAnswer answer = next.getValue();
      if (!now.isBefore(answer.deadline) && answer.awaitsBackup) {
        next.setValue(answer.forCommit(now.plus(settings.billTimeout())));
        isUrgent |= submittedUpTo < lastNumber;
      } else if (!now.isBefore(answer.deadline)) {
        inOrder.remove();
        output.raise(new Billed(answer.requestId, false));
        output.effect(new TraceEffect.Count("ledger_bills_late", "", 1));
      }
    }
  }

  /** Returns up to {@code maxBills} unsettled bills above a number, in ascending order. */
  List<NumberedBill> after(long number, int maxBills) {
    List<NumberedBill> bills = new ArrayList<>();
    Iterator<Map.Entry<Long, Bill>> inOrder =
        unsettled.tailMap(number, false).entrySet().iterator();
    while (inOrder.hasNext() && bills.size() < maxBills) {
      Map.Entry<Long, Bill> next = inOrder.next();
      bills.add(new NumberedBill(next.getKey(), next.getValue()));
    }
    return bills;
  }

  /** Returns the number up to which all bills are committed. */
  long settledUpTo() {
    return settled.upTo();
  }

  /** Returns the number of uncommitted bills. */
  int size() {
    return unsettled.size();
  }

  private record WaitingAnswer(
      String requestId, Instant deadline, boolean isLookup, boolean awaitsBackup) {

    WaitingAnswer forCommit(Instant newDeadline) {
      return new WaitingAnswer(requestId, newDeadline, isLookup, false);
    }
  }
}
