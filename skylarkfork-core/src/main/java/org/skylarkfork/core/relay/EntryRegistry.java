package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.entrylist.EntryLists;
import org.skylarkfork.core.entrylist.ListedEntry;
import org.skylarkfork.core.entrylist.NamedEntry;
import org.skylarkfork.core.message.RelayMessage.EntryPoll;
import org.skylarkfork.core.message.RelayMessage.Neighbourhood;
import org.skylarkfork.core.routing.StableHash;

/** The entries that poll this control VM. */
final class EntryRegistry {

  /**
   * Maximum number of other entries to which one entry reports its load. With 8 messages of 100
   * bytes ten times a second, the reports stay within the control traffic of a daemon, 5 KB a
   * second. With more entries, reports to some of them would give each entry a tenth of the load
   * only: in a simulation of 75 entries, engines prefilled 20 million tokens of shared prefixes
   * again, compared with 6.5 million if all entries report to all. Schedulers place prompts in such
   * a deployment.
   */
  private static final int MAX_PEERS = 8;

  private final RelayTimings times;
  private final boolean weighted;
  private boolean changed;
  private final Map<String, PolledEntry> entries = new LinkedHashMap<>();

  /**
   * Neighbourhood of each entry, cached until an entry or the number of engines changes. Without
   * the cache, the cost of all polls would be quadratic in the number of entries.
   */
  private final Map<String, Neighbourhood> neighbourhoods = new HashMap<>();

  private int neighbourhoodEngines;
  private int lookups;

  /** Lists of all entries, cached until an entry changes; null if they must be computed. */
  private @Nullable EntryLists lists;

  /**
   * Schedulers of the cached number of engines, cached with the neighbourhoods; null if they must
   * be computed.
   */
  private @Nullable List<String> schedulers;

  /**
   * Creates an empty registry.
   *
   * @param times intervals and timeouts
   * @param weighted whether lists for callers follow the capacities of the entries
   */
  EntryRegistry(RelayTimings times, boolean weighted) {
    this.times = times;
    this.weighted = weighted;
  }

  /** Records a poll. */
  void recordPoll(String node, EntryPoll poll, Instant now) {
    PolledEntry before = entries.put(node, new PolledEntry(poll, now));
    if (before == null
        || before.poll.incarnation() != poll.incarnation()
        || before.poll.serving() != poll.serving()
        || before.poll.busy() != poll.busy()
        || !before.poll.capacity().equals(poll.capacity())) {
      markChanged();
    }
  }

  void tick(Instant now) {
    if (entries
        .values()
        .removeIf(polled -> now.isAfter(polled.polledAt.plus(times.entryTimeout())))) {
      markChanged();
    }
  }

  private void markChanged() {
    changed = true;
    neighbourhoods.clear();
    lists = null;
    schedulers = null;
  }

  /** Returns the lists that follow from the present state of all entries. */
  EntryLists lists() {
    EntryLists present = lists;
    if (present == null) {
      List<ListedEntry> sorted = new ArrayList<>();
      for (String node : new TreeSet<>(entries.keySet())) {
        EntryPoll poll = newestPoll(node);
        sorted.add(
            new ListedEntry(
                node,
                poll.callerAddress(),
                poll.zone(),
                poll.serving(),
                poll.busy(),
                poll.capacity()));
      }
      present = new EntryLists(sorted, weighted);
      lists = present;
    }
    return present;
  }

  /**
   * Returns whether entries were added, removed or changed since the last call, and resets that.
   */
  boolean takeChanged() {
    boolean wasChanged = changed;
    changed = false;
    return wasChanged;
  }

  /**
   * Returns the addresses, peers, schedulers and ordinal that an entry receives.
   *
   * @param node the entry, one of {@link #nodes}
   * @param engines number of engines on which prompts are placed
   */
  Neighbourhood neighbourhood(String node, int engines) {
    if (engines != neighbourhoodEngines) {
      neighbourhoods.clear();
      schedulers = null;
      neighbourhoodEngines = engines;
    }
    return neighbourhoods.computeIfAbsent(node, missing -> computeNeighbourhood(node, engines));
  }

  private Neighbourhood computeNeighbourhood(String node, int engines) {
    EntryLists present = lists();
    int own = present.indexOf(node);
    List<String> addresses = present.addressesOf(own);
    boolean few = entries.size() <= MAX_PEERS + 1;
    List<String> peers = few ? present.othersInOrder(own) : List.of();
    List<String> groupSchedulers = few ? List.of() : schedulers(present, engines);
    List<NamedEntry> selectable = present.selectable();
    List<String> forwarders = present.forwarders(own);
    EntryOrdinal ordinal = new EntryOrdinal(own, entries.size());
    long version =
        StableHash.of(
                String.join(",", addresses),
                String.join(",", peers),
                String.join(",", groupSchedulers),
                ordinal.toString(),
                present.selectableHash(),
                String.join(",", forwarders))
            | 1;
    return new Neighbourhood(
        version, addresses, peers, groupSchedulers, ordinal, selectable, forwarders);
  }

  private List<String> schedulers(EntryLists present, int engines) {
    List<String> known = schedulers;
    if (known == null) {
      known = present.schedulers(engines);
      schedulers = known;
    }
    return known;
  }

  /**
   * Returns the addresses to which a caller may connect, entries of its zone first.
   *
   * @param zone the caller's availability zone
   * @param requester identifies the caller; empty if unknown
   */
  List<String> callerAddresses(String zone, String requester) {
    lookups++;
    return lists().callerAddresses(zone, requester, lookups);
  }

  int servingCount() {
    return (int) entries.values().stream().filter(polled -> polled.poll.serving()).count();
  }

  List<String> nodes() {
    return List.copyOf(entries.keySet());
  }

  /** Returns the newest poll of an entry, which must be one of {@link #nodes}. */
  EntryPoll newestPoll(String node) {
    return polledEntry(node).poll;
  }

  /** Returns the time of the newest poll of an entry, which must be one of {@link #nodes}. */
  Instant lastPollAt(String node) {
    return polledEntry(node).polledAt;
  }

  private PolledEntry polledEntry(String node) {
    PolledEntry polled = entries.get(node);
    if (polled == null) {
      throw new IllegalArgumentException(node + " has not polled this control VM");
    }
    return polled;
  }

  private record PolledEntry(EntryPoll poll, Instant polledAt) {}
}
