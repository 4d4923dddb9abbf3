package org.skylarkfork.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.LoadedModel;
import org.skylarkfork.core.upstream.UpstreamKind;
import org.skylarkfork.core.upstream.UpstreamRecord;
import org.skylarkfork.core.upstream.UpstreamState;

/**
 * Records of upstreams with indexes, so that the cost of a lookup is proportional to the size of
 * its result.
 */
final class UpstreamTable {

  /** Number of hash buckets by which two tables are compared. */
  static final int BUCKETS = 256;

  private final TreeMap<String, UpstreamRecord> records = new TreeMap<>();
  private final Map<ModelVersion, UpstreamPool> engines = new TreeMap<>();
  private final Map<String, UpstreamPool> services = new TreeMap<>();
  private final Map<String, String> idByAddress = new HashMap<>();
  private final long[] bucketHashes = new long[BUCKETS];
  private final String zone;
  private final String self;
  private final int subset;

  /**
   * Creates an empty table.
   *
   * @param self name of this daemon; subsets differ by daemon
   * @param zone availability zone that is preferred for subsets
   * @param subset maximum number of upstreams in a subset
   */
  UpstreamTable(String self, String zone, int subset) {
    this.self = self;
    this.zone = zone;
    this.subset = subset;
  }

  @Nullable UpstreamRecord get(String id) {
    return records.get(id);
  }

  Collection<UpstreamRecord> all() {
    return Collections.unmodifiableCollection(records.values());
  }

  int size() {
    return records.size();
  }

  List<Announcement> engines(ModelVersion version) {
    UpstreamPool pool = engines.get(version);
    return pool == null ? List.of() : pool.subset();
  }

  List<Announcement> services(String service) {
    UpstreamPool pool = services.get(service);
    return pool == null ? List.of() : pool.subset();
  }

  /** Returns the ids of all upstreams that this daemon uses. */
  Set<String> usedIds() {
    Set<String> ids = new TreeSet<>();
    engines.values().forEach(pool -> pool.subset().forEach(one -> ids.add(one.id())));
    services.values().forEach(pool -> pool.subset().forEach(one -> ids.add(one.id())));
    return ids;
  }

  /** Returns the record of the live upstream at an address, or null if there is none. */
  @Nullable UpstreamRecord findByAddress(String host, int port) {
    String id = idByAddress.get(host + ":" + port);
    return id == null ? null : records.get(id);
  }

  /** Adds a record or replaces the existing one with the same id. */
  void put(UpstreamRecord incoming) {
    UpstreamRecord existing = records.put(incoming.id(), incoming);
    if (existing != null) {
      unindex(existing);
    }
    index(incoming);
  }

  /** Replaces the load of an upstream without changing the version of its record. */
  void putLoad(String id, LoadReport load) {
    UpstreamRecord existing = records.get(id);
    if (existing == null || existing.announcement().load().equals(load)) {
      return;
    }
    Announcement announcement = withLoad(existing.announcement(), load);
    records.put(id, existing.with(announcement));
    if (existing.acceptsWork()) {
      pools(announcement).forEach(pool -> pool.replace(announcement));
    }
  }

  void remove(String id) {
    UpstreamRecord existing = records.remove(id);
    if (existing != null) {
      unindex(existing);
    }
  }

  /** Returns a hash of all live records; tables with equal live records have equal hashes. */
  long rootHash() {
    long hash = 0;
    for (long bucket : bucketHashes) {
      hash = Hashes.mix(hash ^ bucket);
    }
    return hash;
  }

  List<Long> bucketHashes() {
    List<Long> hashes = new ArrayList<>(BUCKETS);
    for (long hash : bucketHashes) {
      hashes.add(hash);
    }
    return hashes;
  }

  /** Returns the records of some buckets, including lost and ended upstreams. */
  List<UpstreamRecord> inBuckets(Collection<Integer> buckets) {
    Set<Integer> wanted = new TreeSet<>(buckets);
    return records.values().stream()
        .filter(record -> wanted.contains(bucketOf(record.id())))
        .toList();
  }

  static int bucketOf(String id) {
    return (int) (Hashes.of(id) & (BUCKETS - 1));
  }

  /** Returns an announcement with another load and without cache events. */
  static Announcement withLoad(Announcement of, LoadReport load) {
    return copy(of, load, of.leaving());
  }

  static Announcement asLeaving(Announcement of) {
    return copy(of, of.load(), true);
  }

  private static Announcement copy(Announcement of, LoadReport load, boolean leaving) {
    return new Announcement(
        of.id(),
        of.incarnation(),
        of.host(),
        of.port(),
        of.zone(),
        of.kind(),
        of.service(),
        of.models(),
        of.role(),
        of.capacity(),
        load,
        of.checksFencing(),
        leaving,
        of.gone(),
        List.of());
  }

  private void index(UpstreamRecord record) {
    if (record.state() != UpstreamState.LIVE) {
      return;
    }
    Announcement announcement = record.announcement();
    idByAddress.put(announcement.host() + ":" + announcement.port(), record.id());
    // Only live records are hashed: daemons remove a lost upstream at different times, and their
    // tables would differ for minutes without anything to repair.
    bucketHashes[bucketOf(record.id())] ^= hash(record);
    if (!record.acceptsWork()) {
      return;
    }
    pools(announcement).forEach(pool -> pool.add(announcement));
  }

  /** Returns the pools that an upstream belongs to and creates missing ones. */
  private List<UpstreamPool> pools(Announcement announcement) {
    if (announcement.kind() == UpstreamKind.SERVICE) {
      String service = announcement.service() == null ? "" : announcement.service();
      return List.of(services.computeIfAbsent(service, key -> newPool()));
    }
    List<UpstreamPool> pools = new ArrayList<>();
    for (LoadedModel model : announcement.models()) {
      ModelVersion version = new ModelVersion(model.model(), model.version());
      pools.add(engines.computeIfAbsent(version, key -> newPool()));
    }
    return pools;
  }

  private UpstreamPool newPool() {
    return new UpstreamPool(self, zone, subset);
  }

  private void unindex(UpstreamRecord record) {
    if (record.state() != UpstreamState.LIVE) {
      return;
    }
    Announcement announcement = record.announcement();
    idByAddress.remove(announcement.host() + ":" + announcement.port(), record.id());
    bucketHashes[bucketOf(record.id())] ^= hash(record);
    pools(announcement).forEach(pool -> pool.remove(record.id()));
    engines.values().removeIf(UpstreamPool::isEmpty);
    services.values().removeIf(UpstreamPool::isEmpty);
  }

  private static long hash(UpstreamRecord record) {
    long hash = Hashes.of(record.id()) ^ record.announcement().incarnation();
    return Hashes.mix(Hashes.mix(hash) ^ record.sequence()) ^ Hashes.of(record.owner());
  }
}
