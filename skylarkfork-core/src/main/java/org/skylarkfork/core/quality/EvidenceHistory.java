package org.skylarkfork.core.quality;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.skylarkfork.core.configuration.ModelVersion;

/** The counts of all processes together, by key and epoch, over a window of epochs. */
final class EvidenceHistory {

  private final Map<ModelVersion, Map<EvidenceKey, NavigableMap<Long, long[]>>> versions =
      new HashMap<>();
  private final Set<ModelVersion> changed = new HashSet<>();

  void add(long epoch, EvidenceKey key, long[] counts) {
    long[] sum =
        versions
            .computeIfAbsent(key.version(), unused -> new HashMap<>())
            .computeIfAbsent(key, unused -> new TreeMap<>())
            .computeIfAbsent(epoch, unused -> new long[Counters.SIZE]);
    Counters.add(sum, counts);
    changed.add(key.version());
  }

  /** Returns the versions with new evidence since the last call. */
  Set<ModelVersion> drainChanged() {
    Set<ModelVersion> drained = new HashSet<>(changed);
    changed.clear();
    return drained;
  }

  /** Returns a version's counts by key and epoch. */
  Map<EvidenceKey, NavigableMap<Long, long[]>> of(ModelVersion version) {
    return versions.getOrDefault(version, Map.of());
  }

  /** Returns a version's sums by key over the epochs from one to another, both included. */
  Map<EvidenceKey, long[]> sums(ModelVersion version, long from, long to) {
    Map<EvidenceKey, long[]> sums = new HashMap<>();
    of(version)
        .forEach(
            (key, epochs) -> {
              long[] sum = new long[Counters.SIZE];
              epochs.subMap(from, true, to, true).values().forEach(c -> Counters.add(sum, c));
              sums.put(key, sum);
            });
    return sums;
  }

  void removeBefore(long epoch) {
    for (Map<EvidenceKey, NavigableMap<Long, long[]>> keys : versions.values()) {
      keys.values().forEach(epochs -> epochs.headMap(epoch).clear());
      keys.values().removeIf(Map::isEmpty);
    }
    versions.values().removeIf(Map::isEmpty);
  }
}
