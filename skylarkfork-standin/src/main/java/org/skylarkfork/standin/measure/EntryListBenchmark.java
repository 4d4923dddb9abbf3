package org.skylarkfork.standin.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.skylarkfork.core.entrylist.EntryLists;
import org.skylarkfork.core.entrylist.ListedEntry;
import org.skylarkfork.core.overload.EntryCapacity;

/** Time of the decisions on lists of entries, by the number of entries. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class EntryListBenchmark {

  private static final int ENGINES = 98;
  private static final int CALLERS = 250;

  /** Number of entries, of which a quarter are large. */
  @Param({"80", "520"})
  public int entries;

  private final List<ListedEntry> listed = new ArrayList<>();
  private EntryLists lists;
  private int lookups;

  /** Makes uneven entries in four zones. */
  @Setup
  public void setUp() {
    for (int number = 0; number < entries; number++) {
      EntryCapacity capacity =
          number % 4 == 0 ? new EntryCapacity(900, 17_500) : new EntryCapacity(270, 5250);
      String address = "10.0." + number / CALLERS + "." + number % CALLERS + ":8080";
      listed.add(new ListedEntry(address, address, "zone-" + number % 4, true, false, capacity));
    }
    lists = new EntryLists(listed, true);
  }

  /** Answers a caller's look-up. */
  @Benchmark
  public List<String> lookUp() {
    lookups++;
    return lists.callerAddresses("zone-1", "10.9.0." + lookups % CALLERS, lookups);
  }

  /** Computes what all entries share after a change of one of them. */
  @Benchmark
  public EntryLists change() {
    return new EntryLists(listed, true);
  }

  /** Chooses the schedulers after a change. */
  @Benchmark
  public List<String> schedulers() {
    return lists.schedulers(ENGINES);
  }

  /** Computes the list that one entry gets after a change. */
  @Benchmark
  public List<String> neighbourhood() {
    lookups++;
    return lists.addressesOf(lookups % entries);
  }
}
