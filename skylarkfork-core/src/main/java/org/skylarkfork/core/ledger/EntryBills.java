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
 * An entry's bills for one ledger group until they are committed.
 *
 * <p>Bills that a caller waits for go out at once while few batches are on their way, and collect
 * behind those otherwise, so batches grow with the load and the wait doesn't. Bills of lookups
 * collect for a while, since a backup keeps them.
 */
final class EntryBills {

  private static final Duration BATCH_TRY = Duration.ofSeconds(5);
  private static final Duration LATE_KEPT = Duration.ofMinutes(10);

  private final LedgerSettings settings;
  private final String entry;
  private final long incarnation;
  private final GroupId group;
  private final Submitter submitter;
  private final TreeMap<Long, Bill> unsettled = new TreeMap<>();
  private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
  private final Map<Long, List<NumberedBill>> inFlight = new HashMap<>();
  private final Map<String, Long> numbers = new HashMap<>();
  private final Map<String, Instant> settledLate = new LinkedHashMap<>();
  private final List<Billed> answered = new ArrayList<>();
  private final List<List<NumberedBill>> failed = new ArrayList<>();
  private final Deque<List<NumberedBill>> again = new ArrayDeque<>();
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
   * Numbers a bill, or goes on waiting for one that was handed in before.
   *
   * <p>A request whose answer waited too long hands its bill in again. Under a second number it
   * would be counted twice, as a bill without a caller's key is known by its number only.
   *
   * @param hasBackup whether a backup can keep it until it is committed
   */
  void add(Bill bill, boolean hasBackup, Instant now) {
    Long known = numbers.get(bill.requestId());
    if (known != null) {
      await(known, bill, hasBackup, now);
      return;
    }
    if (settledLate.remove(bill.requestId()) != null) {
      answered.add(new Billed(bill.requestId(), true));
      return;
    }
    lastNumber++;
    unsettled.put(lastNumber, bill);
    numbers.put(bill.requestId(), lastNumber);
    await(lastNumber, bill, hasBackup, now);
    isUrgent |= !bill.lookup();
    if (now.isBefore(oldestUnsubmitted)) {
      oldestUnsubmitted = now;
    }
  }

  /**
   * Keeps an answer back until its bill is safe.
   *
   * <p>A lookup's bill is safe as soon as one backup keeps it. An entry that is cut off from its
   * backups would lose the bills of answers that it sent meanwhile if it crashed before the cut
   * ends, and the statement would lack them. So where no backup answers, a lookup waits for the
   * commit as a draft does; an entry that reaches neither soon loses its lease anyway.
   */
  private void await(long number, Bill bill, boolean hasBackup, Instant now) {
    boolean first = bill.lookup() && hasBackup;
    Duration patience = first ? settings.backupTimeout() : settings.billTimeout();
    isUrgent |= bill.lookup() && !hasBackup;
    waiting.put(number, new Waiting(bill.requestId(), now.plus(patience), bill.lookup(), first));
  }

  /**
   * Submits what is due.
   *
   * @param hasBackup whether a backup keeps the bills meanwhile, so that lookups may collect
   */
  void drain(boolean hasBackup, Instant now, Output output) {
    answered.forEach(output::raise);
    answered.clear();
    while (inFlight.size() < settings.maxBatchesInFlight() && isDue(hasBackup, now)) {
      List<NumberedBill> batch = again.isEmpty() ? nextBatch() : again.removeFirst();
      submit(batch, now, output);
    }
  }

  private boolean isDue(boolean hasBackup, Instant now) {
    if (!again.isEmpty()) {
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
    submitter.submit(group, command, id, now.plus(BATCH_TRY), now, output);
    output.effect(new TraceEffect.Observe("ledger_batch_bills", "", batch.size()));
  }

  /** Takes the result of a batch and returns whether the submission was one of these. */
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
    numbers.remove(requestId);
    settled.add(numbered.number());
    Waiting one = waiting.remove(numbered.number());
    if (one != null) {
      output.raise(new Billed(requestId, true));
    } else if (!numbered.bill().lookup()) {
      settledLate.put(requestId, now.plus(LATE_KEPT));
    }
  }

  /**
   * Takes the failure of a batch and returns whether it was one of these.
   *
   * <p>It goes out again at the next tick and not before: a submission that fails at once would
   * else keep the reducer busy with one event for ever.
   */
  boolean onFailed(long submissionId) {
    List<NumberedBill> batch = inFlight.remove(submissionId);
    if (batch != null) {
      failed.add(batch);
    }
    return batch != null;
  }

  /** Takes note that a backup keeps all bills up to a number, so lookups need not wait more. */
  void onBackedUp(long upTo, Output output) {
    var inOrder = waiting.entrySet().iterator();
    while (inOrder.hasNext()) {
      Map.Entry<Long, Waiting> next = inOrder.next();
      if (next.getKey() > upTo) {
        return;
      }
      if (next.getValue().isLookup) {
        inOrder.remove();
        output.raise(new Billed(next.getValue().requestId, true));
      }
    }
  }

  /** Lets go of those that waited as long as they may, and of batches to be sent again. */
  void onTick(Instant now, Output output) {
    again.addAll(failed);
    failed.clear();
    settledLate.values().removeIf(until -> !now.isBefore(until));
    var inOrder = waiting.entrySet().iterator();
    while (inOrder.hasNext()) {
      Map.Entry<Long, Waiting> next = inOrder.next();
      Waiting one = next.getValue();
      if (!now.isBefore(one.until) && one.isForBackup) {
        next.setValue(one.forCommit(now.plus(settings.billTimeout())));
        isUrgent |= submittedUpTo < lastNumber;
      } else if (!now.isBefore(one.until)) {
        inOrder.remove();
        output.raise(new Billed(one.requestId, false));
        output.effect(new TraceEffect.Count("ledger_bills_late", "", 1));
      }
    }
  }

  /** Returns unsettled bills behind a number, in order. */
  List<NumberedBill> after(long number, int most) {
    List<NumberedBill> bills = new ArrayList<>();
    Iterator<Map.Entry<Long, Bill>> inOrder =
        unsettled.tailMap(number, false).entrySet().iterator();
    while (inOrder.hasNext() && bills.size() < most) {
      Map.Entry<Long, Bill> next = inOrder.next();
      bills.add(new NumberedBill(next.getKey(), next.getValue()));
    }
    return bills;
  }

  /** Returns the number up to which all bills are committed. */
  long settledUpTo() {
    return settled.upTo();
  }

  /** Returns how many bills wait for their commit. */
  int size() {
    return unsettled.size();
  }

  private record Waiting(String requestId, Instant until, boolean isLookup, boolean isForBackup) {

    Waiting forCommit(Instant newUntil) {
      return new Waiting(requestId, newUntil, isLookup, false);
    }
  }
}
