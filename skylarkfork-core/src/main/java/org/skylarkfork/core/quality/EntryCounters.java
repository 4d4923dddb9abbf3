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
final class EntryCounters {

  private final Map<Owner, long[]> vectors = new HashMap<>();

  /**
   * Takes in what a process told.
   *
   * @return by how much the counts rose here, or empty if nothing is new
   */
  Optional<long[]> merge(QualityCounters told) {
    if (told.counts().size() != Counters.SIZE) {
      return Optional.empty();
    }
    Owner owner = new Owner(told.entry(), told.incarnation(), told.epoch(), told.key());
    long[] known = vectors.computeIfAbsent(owner, unused -> new long[Counters.SIZE]);
    long[] rise = rise(known, told.counts());
    if (rise == null) {
      return Optional.empty();
    }
    Counters.add(known, rise);
    return Optional.of(rise);
  }

  private static long @Nullable [] rise(long[] known, List<Long> told) {
    long[] rise = new long[Counters.SIZE];
    boolean any = false;
    for (int i = 0; i < Counters.SIZE; i++) {
      rise[i] = Math.max(0, told.get(i) - known[i]);
      any |= rise[i] > 0;
    }
    return any ? rise : null;
  }

  /** Forgets the epochs before one; their sums stay in the history. */
  void forgetBefore(long epoch) {
    vectors.keySet().removeIf(owner -> owner.epoch() < epoch);
  }

  private record Owner(String entry, long incarnation, long epoch, EvidenceKey key) {}
}
