package org.skylarkfork.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.command.LedgerCommand.RecordBills;
import org.skylarkfork.core.command.LedgerResult.BillsRecorded;

/**
 * The bills of a ledger group, as statements.
 *
 * <p>Two tables keep a request from being billed twice. The numbers of each entry's run make a
 * second delivery of a bill harmless, from the entry or from a backup that took over; they cost
 * next to nothing however many lookups there are. The keys that callers gave make a resend through
 * another entry harmless.
 */
final class BillAggregator {

  private static final int MONTH_LENGTH = "2026-12".length();

  private final LedgerBounds bounds;
  private final Map<EntryRun, Run> runs = new LinkedHashMap<>();
  private final BilledKeys keys;
  private final BilledKeys lookupKeys;
  private final Map<LineKey, Sum> lines = new TreeMap<>();
  private final Map<String, Sum> totals = new TreeMap<>();

  BillAggregator(LedgerBounds bounds) {
    this.bounds = bounds;
    keys = new BilledKeys(bounds.maxBilledKeys(), bounds.keyRetention());
    lookupKeys = new BilledKeys(bounds.maxBilledKeys(), bounds.lookupKeyRetention());
  }

  /** Counts those bills that were not counted before. */
  BillsRecorded record(RecordBills command, Instant stampedAt, Instant time) {
    String month = stampedAt.toString().substring(0, MONTH_LENGTH);
    Run run = renew(new EntryRun(command.entry(), command.incarnation()), time);
    run.numbers.addAllUpTo(command.settledUpTo());
    int counted = 0;
    for (NumberedBill numbered : command.bills()) {
      if (run.numbers.add(numbered.number()) && isNewKey(numbered.bill(), time)) {
        add(numbered.bill(), month);
        counted++;
      }
    }
    return new BillsRecorded(counted, command.bills().size() - counted);
  }

  private Run renew(EntryRun key, Instant time) {
    Run known = runs.remove(key);
    Run renewed = new Run(known == null ? new NumberSet(0, List.of()) : known.numbers, time);
    runs.put(key, renewed);
    return renewed;
  }

  private boolean isNewKey(Bill bill, Instant time) {
    if (bill.key().equals(bill.requestId())) {
      return true;
    }
    BilledKeys table = bill.lookup() ? lookupKeys : keys;
    return table.add(new ClaimKey(bill.team(), bill.key()), time);
  }

  private void add(Bill bill, String month) {
    LineKey lineKey = new LineKey(bill.team(), month, bill.model(), bill.version());
    lines.computeIfAbsent(lineKey, unused -> new Sum()).add(1, bill.costMicros());
    totals.computeIfAbsent(bill.team(), unused -> new Sum()).add(1, bill.costMicros());
  }

  /** Forgets keys and runs whose time has come. */
  void expire(Instant time) {
    keys.expire(time);
    lookupKeys.expire(time);
    Instant oldest = time.minus(bounds.keyRetention());
    var inOrder = runs.values().iterator();
    while (inOrder.hasNext() && inOrder.next().countedAt.isBefore(oldest)) {
      inOrder.remove();
    }
  }

  /** Returns a team's statement, after checking that it adds up. */
  Statement statement(String team) {
    List<StatementLine> own = allLines().stream().filter(line -> line.team().equals(team)).toList();
    Sum total = totals.getOrDefault(team, new Sum());
    checkTotal(team, own, total);
    return new Statement(team, own, total.requests, total.costMicros);
  }

  private static void checkTotal(String team, List<StatementLine> own, Sum total) {
    long requests = own.stream().mapToLong(StatementLine::requests).sum();
    long costMicros = own.stream().mapToLong(StatementLine::costMicros).sum();
    Invariants.check(
        requests == total.requests && costMicros == total.costMicros,
        "the statement of team " + team + " adds up to the bills that were counted");
  }

  /** Returns the lines of all teams. */
  List<StatementLine> allLines() {
    List<StatementLine> all = new ArrayList<>();
    lines.forEach(
        (key, sum) ->
            all.add(
                new StatementLine(
                    key.team, key.month, key.model, key.version, sum.requests, sum.costMicros)));
    return all;
  }

  /** Returns which numbers of which runs were counted. */
  List<CountedNumbers> counted() {
    List<CountedNumbers> all = new ArrayList<>();
    runs.forEach(
        (key, run) ->
            all.add(
                new CountedNumbers(
                    key.entry(),
                    key.incarnation(),
                    run.numbers.upTo(),
                    run.numbers.above(),
                    run.countedAt)));
    return all;
  }

  /** Returns the billed keys of drafts and unsafe calls, oldest first. */
  List<BilledKey> keys() {
    return keys.all();
  }

  /** Returns the billed keys of lookups, oldest first. */
  List<BilledKey> lookupKeys() {
    return lookupKeys.all();
  }

  /** Replaces everything. */
  void restore(
      List<CountedNumbers> counted,
      List<BilledKey> newKeys,
      List<BilledKey> newLookupKeys,
      List<StatementLine> newLines) {
    runs.clear();
    for (CountedNumbers one : counted) {
      runs.put(
          new EntryRun(one.entry(), one.incarnation()),
          new Run(new NumberSet(one.upTo(), one.above()), one.countedAt()));
    }
    keys.restore(newKeys);
    lookupKeys.restore(newLookupKeys);
    lines.clear();
    totals.clear();
    for (StatementLine line : newLines) {
      LineKey lineKey = new LineKey(line.team(), line.month(), line.model(), line.version());
      lines.computeIfAbsent(lineKey, unused -> new Sum()).add(line.requests(), line.costMicros());
      totals
          .computeIfAbsent(line.team(), unused -> new Sum())
          .add(line.requests(), line.costMicros());
    }
  }

  private record Run(NumberSet numbers, Instant countedAt) {}

  private record LineKey(String team, String month, String model, @Nullable String version)
      implements Comparable<LineKey> {

    private static final Comparator<LineKey> ORDER =
        Comparator.comparing(LineKey::team)
            .thenComparing(LineKey::month)
            .thenComparing(LineKey::model)
            .thenComparing(key -> key.version() == null ? "" : key.version());

    @Override
    public int compareTo(LineKey other) {
      return ORDER.compare(this, other);
    }
  }

  private static final class Sum {
    private long requests;
    private long costMicros;

    void add(long moreRequests, long moreMicros) {
      requests += moreRequests;
      costMicros = Math.addExact(costMicros, moreMicros);
    }
  }

  /** Billed keys within a time and a number, oldest first. */
  private static final class BilledKeys {
    private final LinkedHashMap<ClaimKey, Instant> billedAt = new LinkedHashMap<>();
    private final int most;
    private final Duration kept;

    BilledKeys(int most, Duration kept) {
      this.most = most;
      this.kept = kept;
    }

    boolean add(ClaimKey key, Instant time) {
      if (billedAt.putIfAbsent(key, time) != null) {
        return false;
      }
      if (billedAt.size() > most) {
        billedAt.remove(billedAt.keySet().iterator().next());
      }
      return true;
    }

    void expire(Instant time) {
      Instant oldest = time.minus(kept);
      var inOrder = billedAt.values().iterator();
      while (inOrder.hasNext() && inOrder.next().isBefore(oldest)) {
        inOrder.remove();
      }
    }

    List<BilledKey> all() {
      List<BilledKey> all = new ArrayList<>();
      billedAt.forEach((key, at) -> all.add(new BilledKey(key.team(), key.key(), at)));
      return all;
    }

    void restore(List<BilledKey> keys) {
      billedAt.clear();
      keys.forEach(key -> billedAt.put(new ClaimKey(key.team(), key.key()), key.billedAt()));
    }
  }
}
