package org.skylarkfork.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Known state of all daemons, and the peers with which a daemon communicates. */
final class MemberTable {

  /** Number of direct successors on the ring that a daemon probes. */
  private static final int SUCCESSOR_COUNT = 4;

  private final TreeMap<String, MemberUpdate> known = new TreeMap<>();
  private List<Member> live = List.of();
  private @Nullable List<String> peers;

  @Nullable MemberUpdate get(String name) {
    return known.get(name);
  }

  boolean isLive(String name) {
    MemberUpdate update = known.get(name);
    return update != null && update.status().isLive();
  }

  Collection<MemberUpdate> all() {
    return Collections.unmodifiableCollection(known.values());
  }

  List<Member> live() {
    return live;
  }

  void put(MemberUpdate update) {
    known.put(update.name(), update);
    changed();
  }

  void remove(String name) {
    known.remove(name);
    changed();
  }

  /**
   * Returns the peers that a daemon probes and gossips with.
   *
   * <p>All live daemons form a ring in the order of their hashes. The peers of a daemon are its
   * next few successors and the daemons 8, 16, 32 and so on positions further. Each daemon is
   * therefore probed by as many daemons as it probes, in all zones; updates reach all daemons in
   * about as many hops as the binary logarithm of their number; and connections, which need a
   * costly TLS handshake, are long-lived.
   */
  List<String> peers(String self) {
    if (peers == null) {
      peers = ringPeers(self);
    }
    return peers;
  }

  /** Returns a hash of the live members; tables with equal live members have equal hashes. */
  long hash() {
    long hash = 0;
    for (Member member : live) {
      long one = Hashes.of(member.name()) ^ Hashes.mix(member.incarnation());
      hash += Hashes.mix(one + member.revision());
    }
    return hash;
  }

  private void changed() {
    peers = null;
    live =
        known.values().stream()
            .filter(update -> update.status().isLive())
            .map(MemberUpdate::member)
            .toList();
  }

  private List<String> ringPeers(String self) {
    Comparator<String> order = Comparator.comparingLong(Hashes::of);
    List<String> ring =
        live.stream().map(Member::name).sorted(order.thenComparing(name -> name)).toList();
    int selfIndex = ring.indexOf(self);
    List<String> result = new ArrayList<>();
    int offset = 1;
    while (selfIndex >= 0 && offset < ring.size()) {
      result.add(ring.get((selfIndex + offset) % ring.size()));
      offset = offset < SUCCESSOR_COUNT ? offset + 1 : offset * 2;
    }
    return List.copyOf(result);
  }
}
