package org.skylarkfork.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.upstream.Announcement;

/**
 * The upstreams of one model version or service, of which a daemon uses all or a subset.
 *
 * <p>A daemon that used all upstreams of a large pool would have to subscribe to all their loads.
 * Each daemon instead uses the first few in rendezvous order of its own name, most of them in its
 * own zone, so that the daemons are distributed evenly over the pool and a change of the pool
 * reassigns only few.
 */
final class UpstreamPool {

  /** One in this many upstreams of a subset is in another zone, in case the own zone fails. */
  private static final int OTHER_ZONES_DIVISOR = 4;

  private final String self;
  private final String zone;
  private final int subset;
  private final TreeMap<String, Announcement> members = new TreeMap<>();
  private @Nullable List<Announcement> chosen;
  private @Nullable List<String> chosenIds;

  UpstreamPool(String self, String zone, int subset) {
    this.self = self;
    this.zone = zone;
    this.subset = subset;
  }

  boolean isEmpty() {
    return members.isEmpty();
  }

  void add(Announcement announcement) {
    members.put(announcement.id(), announcement);
    chosen = null;
    chosenIds = null;
  }

  void remove(String id) {
    members.remove(id);
    chosen = null;
    chosenIds = null;
  }

  /** Replaces the announcement of an upstream without a new selection of the subset. */
  void replace(Announcement announcement) {
    members.put(announcement.id(), announcement);
    chosen = null;
  }

  /** Returns the upstreams to use, ordered by id. */
  List<Announcement> subset() {
    if (chosen == null) {
      chosen =
          members.size() <= subset
              ? List.copyOf(members.values())
              : ids().stream().map(members::get).toList();
    }
    return chosen;
  }

  private List<String> ids() {
    if (chosenIds == null) {
      chosenIds = choose();
    }
    return chosenIds;
  }

  private List<String> choose() {
    List<Announcement> sameZone = new ArrayList<>();
    List<Announcement> otherZones = new ArrayList<>();
    for (Announcement member : members.values()) {
      (member.zone().equals(zone) ? sameZone : otherZones).add(member);
    }
    int otherZoneCount = Math.max(subset / OTHER_ZONES_DIVISOR, subset - sameZone.size());
    List<String> ids = first(otherZones, otherZoneCount);
    ids.addAll(first(sameZone, subset - ids.size()));
    ids.sort(Comparator.naturalOrder());
    return ids;
  }

  private List<String> first(List<Announcement> from, int count) {
    List<String> ids = from.stream().map(Announcement::id).toList();
    List<String> ordered = Hashes.rendezvous(self, ids);
    return new ArrayList<>(ordered.subList(0, Math.min(count, ordered.size())));
  }
}
