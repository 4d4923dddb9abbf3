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
  private final TreeMap<String, Announcement> announcements = new TreeMap<>();
  private @Nullable List<Announcement> selected;
  private @Nullable List<String> selectedIds;

  UpstreamPool(String self, String zone, int subset) {
    this.self = self;
    this.zone = zone;
    this.subset = subset;
  }

  boolean isEmpty() {
    return announcements.isEmpty();
  }

  void add(Announcement announcement) {
    announcements.put(announcement.id(), announcement);
    selected = null;
    selectedIds = null;
  }

  void remove(String id) {
    announcements.remove(id);
    selected = null;
    selectedIds = null;
  }

  /** Replaces the announcement of an upstream without a new selection of the subset. */
  void replace(Announcement announcement) {
    announcements.put(announcement.id(), announcement);
    selected = null;
  }

  /** Returns the upstreams to use, ordered by id. */
  List<Announcement> subset() {
    if (selected == null) {
      selected =
          announcements.size() <= subset
              ? List.copyOf(announcements.values())
              : subsetIds().stream().map(announcements::get).toList();
    }
    return selected;
  }

  private List<String> subsetIds() {
    if (selectedIds == null) {
      selectedIds = selectIds();
    }
    return selectedIds;
  }

  private List<String> selectIds() {
    List<Announcement> sameZone = new ArrayList<>();
    List<Announcement> otherZones = new ArrayList<>();
    for (Announcement member : announcements.values()) {
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
