package org.skylarkfork.core.quality;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The merged counters of all processes in the epochs that may still change.
 *
 * <p>Each process counts for itself, and its counts only increase. Merging by the maximum of each
 * count therefore gives the same result for reordered and duplicated messages.
 */
final class MergedCounters {

  private final Map<CounterId, long[]> countsById = new HashMap<>();

  /**
   * Merges the counters that a process sent.
   *
   * @return the increase of the merged counts, or empty if nothing is new or the number of counts
   *     is wrong
   */
  Optional<long[]> merge(QualityCounters received) {
    if (received.counts().size() != Counters.SIZE) {
      return Optional.empty();
    }
    CounterId id =
        new CounterId(received.entry(), received.incarnation(), received.epoch(), received.key());
    long[] merged = countsById.computeIfAbsent(id, unused -> new long[Counters.SIZE]);
    long[] increase = increase(merged, received.counts());
    if (increase == null) {
      return Optional.empty();
    }
    Counters.add(merged, increase);
    return Optional.of(increase);
  }

  private static long @Nullable [] increase(long[] merged, List<Long> received) {
    long[] increase = new long[Counters.SIZE];
    boolean any = false;
    for (int i = 0; i < Counters.SIZE; i++) {
      increase[i] = Math.max(0, received.get(i) - merged[i]);
      any |= increase[i] > 0;
    }
    return any ? increase : null;
  }

  /** Removes the epochs before the given one; their sums stay in the history. */
  void removeBefore(long epoch) {
    countsById.keySet().removeIf(id -> id.epoch() < epoch);
  }

  private record CounterId(String entry, long incarnation, long epoch, EvidenceKey key) {}
}
