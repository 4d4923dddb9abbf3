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

  /** Addresses that a caller is given at the most; enough to spread any number of callers. */
  private static final int MOST_ADDRESSES = 64;

  /**
   * Other entries that one entry tells of its load. With 8 times 100 bytes ten times a second it
   * stays within the 5 KB a second of a daemon's control. Where there are more, telling some would
   * leave each entry with a tenth of the truth: in virtual time with 75 entries, engines read 20
   * million tokens of shared parts again in place of 6.5 million if all hear all. Schedulers place
   * prompts then.
   */
  private static final int MOST_PEERS = 8;

  /**
   * Engines that one scheduler places prompts on at the least. Fewer engines would be loaded too
   * unevenly, since prompts are spread over groups by their names.
   */
  private static final int LEAST_GROUP = 16;

  private final RelayTimings times;
  private boolean takeChanged;
  private final Map<String, Known> entries = new LinkedHashMap<>();

  /**
   * What each entry is to know of the others, until one of them or the engines change. Made anew at
   * each poll it takes time with the square of the entries.
   */
  private final Map<String, Neighbourhood> neighbourhoods = new HashMap<>();

  private int neighbourhoodEngines;
  private int lookUps;

  EntryRegistry(RelayTimings times) {
    this.times = times;
  }

  /** Takes note of a poll and returns the one before it from the same process, or the same. */
  EntryPoll recordPoll(String node, EntryPoll poll, Instant now) {
    Known before = entries.put(node, new Known(poll, now));
    boolean same = before != null && before.poll.incarnation() == poll.incarnation();
    if (!same || before.poll.serving() != poll.serving() || before.poll.busy() != poll.busy()) {
      noteChange();
    }
    return same ? before.poll : poll;
  }

  void tick(Instant now) {
    if (entries.values().removeIf(known -> now.isAfter(known.heardAt.plus(times.entryTimeout())))) {
      noteChange();
    }
  }

  private void noteChange() {
    takeChanged = true;
    neighbourhoods.clear();
  }

  /** Returns whether entries have come, gone or changed since this was last asked. */
  boolean takeChanged() {
    boolean since = takeChanged;
    takeChanged = false;
    return since;
  }

  /**
   * Returns what an entry is to know of the others.
   *
   * @param node the entry, one of {@link #nodes}
   * @param engines how many engines prompts are placed on
   */
  Neighbourhood neighbourhood(String node, int engines) {
    if (engines != neighbourhoodEngines) {
      neighbourhoods.clear();
      neighbourhoodEngines = engines;
    }
    return neighbourhoods.computeIfAbsent(node, missing -> neighbourhoodNow(node, engines));
  }

  private Neighbourhood neighbourhoodNow(String node, int engines) {
    List<String> sorted = new ArrayList<>(new TreeSet<>(entries.keySet()));
    int own = sorted.indexOf(node);
    List<String> addresses = addresses(newestPoll(node).zone(), sorted, own);
    boolean few = sorted.size() <= MOST_PEERS + 1;
    List<String> peers = few ? others(sorted, own) : List.of();
    List<String> schedulers = few ? List.of() : schedulers(sorted, engines);
    EntryOrdinal place = new EntryOrdinal(own, sorted.size());
    long version =
        StableHash.of(
                String.join(",", addresses),
                String.join(",", peers),
                String.join(",", schedulers),
                place.toString())
            | 1;
    return new Neighbourhood(version, addresses, peers, schedulers, place);
  }

  /** Returns the entries that come next in the order of names, around its end. */
  private static List<String> others(List<String> sorted, int own) {
    List<String> next = new ArrayList<>();
    for (int step = 1; step < sorted.size(); step++) {
      next.add(sorted.get((own + step) % sorted.size()));
    }
    return next;
  }

  /**
   * Returns the entries that place prompts, one for each group of engines.
   *
   * <p>The number of groups is a power of two, so that it changes seldom, and each change moves
   * half of the prompts at least. Each group has its own order of entries, of which the first
   * serves it that has time and serves no other: if one is lost, only its group changes hands.
   */
  private List<String> schedulers(List<String> sorted, int engines) {
    int most = Math.min(engines / LEAST_GROUP, sorted.size() / 2);
    int groups = Math.max(1, Integer.highestOneBit(Math.max(1, most)));
    List<String> free = new ArrayList<>();
    for (String node : sorted) {
      if (newestPoll(node).serving() && !newestPoll(node).busy()) {
        free.add(node);
      }
    }
    List<String> schedulers = new ArrayList<>();
    for (int group = 0; group < groups && schedulers.size() < free.size(); group++) {
      String number = Integer.toString(group);
      free.stream()
          .filter(node -> !schedulers.contains(node))
          .max(Comparator.comparingLong(node -> StableHash.of(node, number)))
          .ifPresent(schedulers::add);
    }
    return schedulers.size() == groups ? schedulers : List.of();
  }

  /**
   * Returns where a caller may connect; entries of its zone first.
   *
   * <p>Where there are more entries than a caller takes, each look-up is told of others. Told of
   * the same ones, callers would leave a third of 91 entries with a fifth of the others' load.
   */
  List<String> callerAddresses(String zone) {
    List<String> sorted = new ArrayList<>(new TreeSet<>(entries.keySet()));
    lookUps++;
    return addresses(zone, sorted, lookUps);
  }

  /**
   * Returns callers' addresses of the entries from a place on in the order of names.
   *
   * <p>Busy entries are left out while most are not: a few slow ones can be spared, but if all are
   * busy, leaving some out would only make the others slower.
   */
  private List<String> addresses(String zone, List<String> sorted, int from) {
    List<EntryPoll> serving =
        sorted.stream().map(this::newestPoll).filter(EntryPoll::serving).toList();
    List<EntryPoll> free = serving.stream().filter(poll -> !poll.busy()).toList();
    List<EntryPoll> named = free.size() * 2 >= serving.size() ? free : serving;
    int first = named.size() > MOST_ADDRESSES ? from : 0;
    List<String> near = new ArrayList<>();
    List<String> far = new ArrayList<>();
    for (int step = 0; step < Math.min(MOST_ADDRESSES, named.size()); step++) {
      EntryPoll poll = named.get((first + step) % named.size());
      (poll.zone().equals(zone) ? near : far).add(poll.callerAddress());
    }
    near.addAll(far);
    return near;
  }

  int servingCount() {
    return (int) entries.values().stream().filter(known -> known.poll.serving()).count();
  }

  List<String> nodes() {
    return List.copyOf(entries.keySet());
  }

  /** Returns the newest poll of an entry, which must be one of {@link #nodes}. */
  EntryPoll newestPoll(String node) {
    return known(node).poll;
  }

  /** Returns when an entry, which must be one of {@link #nodes}, last polled. */
  Instant lastPollAt(String node) {
    return known(node).heardAt;
  }

  private Known known(String node) {
    Known known = entries.get(node);
    if (known == null) {
      throw new IllegalArgumentException(node + " does not poll");
    }
    return known;
  }

  private record Known(EntryPoll poll, Instant heardAt) {}
}
