package org.skylarkfork.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** What is known of all daemons, and which of them a daemon is in touch with. */
final class MemberTable {

  /** Successors on the ring that a daemon always watches. */
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
   * Returns the daemons that a daemon probes and gossips with.
   *
   * <p>All live daemons stand on a ring in the order of their hashes. A daemon is in touch with its
   * next few successors and with those 8, 16, 32 and so on places further. So each daemon is
   * watched by as many as it watches, in all zones; news reach all in about as many hops as the
   * binary logarithm; and connections, with their costly TLS handshakes, last.
   */
  List<String> peers(String self) {
    if (peers == null) {
      peers = ringPeers(self);
    }
    return peers;
  }

  /** Returns a hash over live members; equal tables have equal hashes. */
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
