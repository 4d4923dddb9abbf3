package org.skylarkfork.core.quality;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The counters of all processes in the epochs that may still change, merged without doubles.
 *
 * <p>Each process counts for itself, and each of its counts only rises. Taking the greater of each
 * count therefore gives the same result in whatever order, and however often, messages come.
 */
final class MergedCounters {

  private final Map<CounterId, long[]> vectors = new HashMap<>();

  /**
   * Takes in what a process told.
   *
   * @return by how much the counts rose here, or empty if nothing is new
   */
  Optional<long[]> merge(QualityCounters received) {
    if (received.counts().size() != Counters.SIZE) {
      return Optional.empty();
    }
    CounterId id =
        new CounterId(received.entry(), received.incarnation(), received.epoch(), received.key());
    long[] merged = vectors.computeIfAbsent(id, unused -> new long[Counters.SIZE]);
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

  /** Forgets the epochs before one; their sums stay in the history. */
  void removeBefore(long epoch) {
    vectors.keySet().removeIf(id -> id.epoch() < epoch);
  }

  private record CounterId(String entry, long incarnation, long epoch, EvidenceKey key) {}
}
