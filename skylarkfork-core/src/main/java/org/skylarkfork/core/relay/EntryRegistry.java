package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.message.RelayMessage.EntryPoll;

/** The entries that poll this control VM. */
final class EntryRegistry {

  private final RelayTimes times;
  private final Map<String, Known> entries = new LinkedHashMap<>();

  EntryRegistry(RelayTimes times) {
    this.times = times;
  }

  /** Takes note of a poll and returns the one before it from the same process, or the same. */
  EntryPoll heard(String node, EntryPoll poll, Instant now) {
    Known before = entries.put(node, new Known(poll, now));
    boolean same = before != null && before.poll.incarnation() == poll.incarnation();
    return same ? before.poll : poll;
  }

  void tick(Instant now) {
    entries.values().removeIf(known -> now.isAfter(known.heardAt.plus(times.entrySilence())));
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
