package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.skylarkfork.core.message.RelayMessage.EntryPoll;
import org.skylarkfork.core.message.RelayMessage.Neighbourhood;
import org.skylarkfork.core.routing.StableHash;

/** The entries that poll this control VM. */
final class EntryRegistry {

  /**
   * Maximum number of addresses in one answer to a caller; enough to spread any number of callers.
   */
  private static final int MAX_ADDRESSES = 64;

  /**
   * Maximum number of other entries to which one entry reports its load. With 8 messages of 100
   * bytes ten times a second, the reports stay within the control traffic of a daemon, 5 KB a
   * second. With more entries, reports to some of them would give each entry a tenth of the load
   * only: in a simulation of 75 entries, engines prefilled 20 million tokens of shared prefixes
   * again, compared with 6.5 million if all entries report to all. Schedulers place prompts in such
   * a deployment.
   */
  private static final int MAX_PEERS = 8;

  /**
   * Minimum number of engines in the group of one scheduler. Smaller groups would be loaded too
   * unevenly, since prompts are assigned to groups by hash.
   */
  private static final int MIN_GROUP_SIZE = 16;

  private final RelayTimings times;
  private boolean changed;
  private final Map<String, PolledEntry> entries = new LinkedHashMap<>();

  /**
   * Neighbourhood of each entry, cached until an entry or the number of engines changes. Without
   * the cache, the cost of all polls would be quadratic in the number of entries.
   */
  private final Map<String, Neighbourhood> neighbourhoods = new HashMap<>();

  private int neighbourhoodEngines;
  private int lookups;

  EntryRegistry(RelayTimings times) {
    this.times = times;
  }

  /**
   * Records a poll and returns the previous poll of the same process, or this one if there is none.
   */
  EntryPoll recordPoll(String node, EntryPoll poll, Instant now) {
    PolledEntry before = entries.put(node, new PolledEntry(poll, now));
    boolean sameProcess = before != null && before.poll.incarnation() == poll.incarnation();
    if (!sameProcess
        || before.poll.serving() != poll.serving()
        || before.poll.busy() != poll.busy()) {
      markChanged();
    }
    return sameProcess ? before.poll : poll;
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
      neighbourhoodEngines = engines;
    }
    return neighbourhoods.computeIfAbsent(node, missing -> computeNeighbourhood(node, engines));
  }

  private Neighbourhood computeNeighbourhood(String node, int engines) {
    List<String> sorted = new ArrayList<>(new TreeSet<>(entries.keySet()));
    int own = sorted.indexOf(node);
    List<String> addresses = addresses(newestPoll(node).zone(), sorted, own);
    boolean few = sorted.size() <= MAX_PEERS + 1;
    List<String> peers = few ? othersInOrder(sorted, own) : List.of();
    List<String> schedulers = few ? List.of() : schedulers(sorted, engines);
    EntryOrdinal ordinal = new EntryOrdinal(own, sorted.size());
    long version =
        StableHash.of(
                String.join(",", addresses),
                String.join(",", peers),
                String.join(",", schedulers),
                ordinal.toString())
            | 1;
    return new Neighbourhood(version, addresses, peers, schedulers, ordinal);
  }

  /**
   * Returns the other entries in the order of names, starting after the entry and wrapping around.
   */
  private static List<String> othersInOrder(List<String> sorted, int own) {
    List<String> others = new ArrayList<>();
    for (int step = 1; step < sorted.size(); step++) {
      others.add(sorted.get((own + step) % sorted.size()));
    }
    return others;
  }

  /**
   * Returns the entries that place prompts, one for each group of engines; empty if too few entries
   * are available.
   *
   * <p>The number of groups is a power of two, so that it changes seldom; each change moves at
   * least half of the prompts. Each group ranks the entries by rendezvous hashing and gets the
   * first one that is not busy and serves no other group, so that the loss of one scheduler changes
   * only its own group.
   */
  private List<String> schedulers(List<String> sorted, int engines) {
    int maxGroups = Math.min(engines / MIN_GROUP_SIZE, sorted.size() / 2);
    int groups = Math.max(1, Integer.highestOneBit(Math.max(1, maxGroups)));
    List<String> available = new ArrayList<>();
    for (String node : sorted) {
      if (newestPoll(node).serving() && !newestPoll(node).busy()) {
        available.add(node);
      }
    }
    List<String> schedulers = new ArrayList<>();
    for (int group = 0; group < groups && schedulers.size() < available.size(); group++) {
      String number = Integer.toString(group);
      available.stream()
          .filter(node -> !schedulers.contains(node))
          .max(Comparator.comparingLong(node -> StableHash.of(node, number)))
          .ifPresent(schedulers::add);
    }
    return schedulers.size() == groups ? schedulers : List.of();
  }

  /**
   * Returns the addresses to which a caller may connect, entries of its zone first.
   *
   * <p>If there are more entries than {@link #MAX_ADDRESSES}, each look-up receives a different
   * selection. With the same selection for all callers, a third of 91 entries received a fifth of
   * the load of the others.
   */
  List<String> callerAddresses(String zone) {
    List<String> sorted = new ArrayList<>(new TreeSet<>(entries.keySet()));
    lookups++;
    return addresses(zone, sorted, lookups);
  }

  /**
   * Returns the caller addresses of entries, starting at an index in the order of names.
   *
   * <p>Busy entries are left out unless more than half of the serving entries are busy: leaving out
   * a few slow entries is harmless, but if most are busy, it would only slow down the others.
   */
  private List<String> addresses(String zone, List<String> sorted, int offset) {
    List<EntryPoll> serving =
        sorted.stream().map(this::newestPoll).filter(EntryPoll::serving).toList();
    List<EntryPoll> available = serving.stream().filter(poll -> !poll.busy()).toList();
    List<EntryPoll> offered = available.size() * 2 >= serving.size() ? available : serving;
    int first = offered.size() > MAX_ADDRESSES ? offset : 0;
    List<String> sameZone = new ArrayList<>();
    List<String> otherZones = new ArrayList<>();
    for (int step = 0; step < Math.min(MAX_ADDRESSES, offered.size()); step++) {
      EntryPoll poll = offered.get((first + step) % offered.size());
      (poll.zone().equals(zone) ? sameZone : otherZones).add(poll.callerAddress());
    }
    sameZone.addAll(otherZones);
    return sameZone;
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
