package org.skylarkfork.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.LoadedModel;
import org.skylarkfork.core.upstream.UpstreamKind;
import org.skylarkfork.core.upstream.UpstreamRecord;
import org.skylarkfork.core.upstream.UpstreamState;

/** Records of upstreams with indexes, so that a look-up costs as much as its result is long. */
final class UpstreamTable {

  /** Number of buckets into which two tables are split to compare them. */
  static final int BUCKETS = 256;

  private final TreeMap<String, UpstreamRecord> records = new TreeMap<>();
  private final Map<ModelVersion, TreeMap<String, Announcement>> engines = new HashMap<>();
  private final Map<String, TreeMap<String, Announcement>> services = new HashMap<>();
  private final Map<String, String> idByAddress = new HashMap<>();
  private final long[] bucketHashes = new long[BUCKETS];

  @Nullable UpstreamRecord get(String id) {
    return records.get(id);
  }

  Collection<UpstreamRecord> all() {
    return Collections.unmodifiableCollection(records.values());
  }

  Collection<Announcement> engines(ModelVersion version) {
    return values(engines.get(version));
  }

  Collection<Announcement> services(String service) {
    return values(services.get(service));
  }

  /** Returns the record of the live upstream at an address, or null. */
  @Nullable UpstreamRecord atAddress(String host, int port) {
    String id = idByAddress.get(host + ":" + port);
    return id == null ? null : records.get(id);
  }

  /** Puts a record in the place of the one that stands. */
  void put(UpstreamRecord incoming) {
    UpstreamRecord known = records.put(incoming.id(), incoming);
    if (known != null) {
      unindex(known);
    }
    index(incoming);
  }

  /** Replaces the load of an upstream, which counts as no change of its record. */
  void putLoad(String id, LoadReport load) {
    UpstreamRecord known = records.get(id);
    if (known != null) {
      Announcement announcement = withLoad(known.announcement(), load);
      put(new UpstreamRecord(announcement, known.owner(), known.sequence(), known.state()));
    }
  }

  void remove(String id) {
    UpstreamRecord known = records.remove(id);
    if (known != null) {
      unindex(known);
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

  List<UpstreamRecord> bucket(int bucket) {
    return records.values().stream().filter(record -> bucketOf(record.id()) == bucket).toList();
  }

  static int bucketOf(String id) {
    return (int) (Hashes.of(id) & (BUCKETS - 1));
  }

  static Announcement withLoad(Announcement of, LoadReport load) {
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
        of.leaving(),
        of.gone(),
        List.of());
  }

  private void index(UpstreamRecord record) {
    if (record.state() != UpstreamState.LIVE) {
      return;
    }
    Announcement announcement = record.announcement();
    idByAddress.put(announcement.host() + ":" + announcement.port(), record.id());
    // Only live records count: one daemon forgets a lost upstream sooner than another, and their
    // tables would differ for minutes without anything to repair.
    bucketHashes[bucketOf(record.id())] ^= hash(record);
    if (!record.takesWork()) {
      return;
    }
    if (announcement.kind() == UpstreamKind.SERVICE) {
      String service = announcement.service() == null ? "" : announcement.service();
      services.computeIfAbsent(service, key -> new TreeMap<>()).put(record.id(), announcement);
      return;
    }
    for (LoadedModel model : announcement.models()) {
      engines
          .computeIfAbsent(versionOf(model), key -> new TreeMap<>())
          .put(record.id(), announcement);
    }
  }

  private void unindex(UpstreamRecord record) {
    if (record.state() != UpstreamState.LIVE) {
      return;
    }
    Announcement announcement = record.announcement();
    idByAddress.remove(announcement.host() + ":" + announcement.port(), record.id());
    bucketHashes[bucketOf(record.id())] ^= hash(record);
    String service = announcement.service() == null ? "" : announcement.service();
    removeFrom(services, service, record.id());
    for (LoadedModel model : announcement.models()) {
      removeFrom(engines, versionOf(model), record.id());
    }
  }

  private static ModelVersion versionOf(LoadedModel model) {
    return new ModelVersion(model.model(), model.version());
  }

  private static <K> void removeFrom(
      Map<K, TreeMap<String, Announcement>> index, K key, String id) {
    TreeMap<String, Announcement> of = index.get(key);
    if (of != null) {
      of.remove(id);
      if (of.isEmpty()) {
        index.remove(key);
      }
    }
  }

  private static Collection<Announcement> values(@Nullable TreeMap<String, Announcement> of) {
    return of == null ? List.of() : of.values();
  }

  private static long hash(UpstreamRecord record) {
    long hash = Hashes.of(record.id()) ^ record.announcement().incarnation();
    return Hashes.mix(Hashes.mix(hash) ^ record.sequence()) ^ Hashes.of(record.owner());
  }
}
