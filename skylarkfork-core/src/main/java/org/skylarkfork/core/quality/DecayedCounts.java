package org.skylarkfork.core.quality;

import java.util.HashMap;
import java.util.Map;

/** Counts whose weight halves with a fixed age, so that estimates follow a drift. */
final class DecayedCounts {

  private static final double NEGLIGIBLE = 1e-6;
  private static final double[] ZERO_COUNTS = new double[Counters.SIZE];

  private final double factorPerEpoch;
  private final Map<EvidenceKey, double[]> counts = new HashMap<>();
  private long epoch;

  /** Makes counts that halve after a number of epochs. */
  DecayedCounts(double halfLifeEpochs) {
    factorPerEpoch = Math.pow(0.5, 1 / halfLifeEpochs);
  }

  void add(long countsEpoch, EvidenceKey key, long[] increase) {
    double weight = Math.pow(factorPerEpoch, epoch - countsEpoch);
    double[] sum = counts.computeIfAbsent(key, unused -> new double[Counters.SIZE]);
    for (int i = 0; i < sum.length; i++) {
      sum[i] += weight * increase[i];
    }
  }

  /** Goes on to a later epoch. */
  void advance(long newEpoch) {
    if (newEpoch <= epoch) {
      return;
    }
    double factor = Math.pow(factorPerEpoch, newEpoch - epoch);
    epoch = newEpoch;
    for (double[] sum : counts.values()) {
      for (int i = 0; i < sum.length; i++) {
        sum[i] *= factor;
      }
    }
    counts.values().removeIf(sum -> sum[Counters.ATTEMPTS] + ratings(sum) < NEGLIGIBLE);
  }

  /** Returns the counts of a key; nobody may change them. */
  double[] of(EvidenceKey key) {
    return counts.getOrDefault(key, ZERO_COUNTS);
  }

  static double ratings(double[] counts) {
    double sum = 0;
    for (int i = 0; i < Counters.RATING_CLASSES; i++) {
      sum += counts[i];
    }
    return sum;
  }

  /** Returns how many ratings reach a target; a class that it cuts counts in part. */
  static double ratingsReaching(double[] counts, double target) {
    double position = Math.max(0, Math.min(1, target)) * Counters.RATING_CLASSES;
    int last = Counters.RATING_CLASSES - 1;
    int first = Math.min(last, (int) Math.floor(position + 1e-9));
    // Perfect ratings share the last class with those just below and must reach any target.
    double sum = first == last ? counts[last] : counts[first] * Math.min(1, first + 1 - position);
    for (int i = first + 1; i < Counters.RATING_CLASSES; i++) {
      sum += counts[i];
    }
    return sum;
  }
}
