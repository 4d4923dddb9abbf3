package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.ArrayList;
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
   * Entries that one entry tells of its load. With 8 times 100 bytes ten times a second it stays
   * within the 5 KB a second of a daemon's control, whatever the size; up to nine all hear all.
   */
  private static final int MOST_PEERS = 8;

  private final RelayTimes times;
  private boolean changed;
  private final Map<String, Known> entries = new LinkedHashMap<>();

  EntryRegistry(RelayTimes times) {
    this.times = times;
  }

  /** Takes note of a poll and returns the one before it from the same process, or the same. */
  EntryPoll heard(String node, EntryPoll poll, Instant now) {
    Known before = entries.put(node, new Known(poll, now));
    boolean same = before != null && before.poll.incarnation() == poll.incarnation();
    changed |=
        !same || before.poll.serving() != poll.serving() || before.poll.busy() != poll.busy();
    return same ? before.poll : poll;
  }

  void tick(Instant now) {
    changed |=
        entries.values().removeIf(known -> now.isAfter(known.heardAt.plus(times.entrySilence())));
  }

  /** Returns whether entries have come, gone or changed since this was last asked. */
  boolean changed() {
    boolean since = changed;
    changed = false;
    return since;
  }

  /** Returns what an entry, which must be one of {@link #nodes}, is to know of the others. */
  Neighbourhood neighbourhood(String node) {
    List<String> all = callerAddresses(poll(node).zone());
    List<String> addresses = all.subList(0, Math.min(MOST_ADDRESSES, all.size()));
    List<String> peers = peers(node);
    long version = StableHash.of(String.join(",", addresses), String.join(",", peers)) | 1;
    return new Neighbourhood(version, addresses, peers);
  }

  /** Returns the entries that come next in the order of names, around its end. */
  private List<String> peers(String node) {
    List<String> sorted = new ArrayList<>(new TreeSet<>(entries.keySet()));
    int own = sorted.indexOf(node);
    List<String> next = new ArrayList<>();
    for (int step = 1; step < sorted.size() && next.size() < MOST_PEERS; step++) {
      next.add(sorted.get((own + step) % sorted.size()));
    }
    return next;
  }

  /**
   * Returns where callers may connect; entries of the zone first.
   *
   * <p>Busy entries are left out while most are not: a few slow ones can be spared, but if all are
   * busy, leaving some out would only make the others slower.
   */
  List<String> callerAddresses(String zone) {
    List<EntryPoll> serving =
        entries.values().stream().map(Known::poll).filter(EntryPoll::serving).toList();
    List<EntryPoll> free = serving.stream().filter(poll -> !poll.busy()).toList();
    boolean spared = free.size() * 2 >= serving.size();
    List<String> near = new ArrayList<>();
    List<String> far = new ArrayList<>();
    for (EntryPoll poll : spared ? free : serving) {
      (poll.zone().equals(zone) ? near : far).add(poll.callerAddress());
    }
    near.addAll(far);
    return near;
  }

  int serving() {
    return (int) entries.values().stream().filter(known -> known.poll.serving()).count();
  }

  List<String> nodes() {
    return List.copyOf(entries.keySet());
  }

  /** Returns the newest poll of an entry, which must be one of {@link #nodes}. */
  EntryPoll poll(String node) {
    return known(node).poll;
  }

  /** Returns when an entry, which must be one of {@link #nodes}, last polled. */
  Instant heardAt(String node) {
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
