package org.skylarkfork.core.entrylist;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToIntFunction;
import org.skylarkfork.core.overload.EntryCapacity;

/** Weights of entries, computed from the capacities that they report. */
final class EntryWeights {

  /**
   * Maximum factor between a reported value and the median. An entry that reports too large a value
   * by mistake would otherwise receive all callers.
   */
  private static final int MAX_MEDIAN_FACTOR = 16;

  private EntryWeights() {}

  /**
   * Returns the weight of each capacity, in the same order: the lesser of processor share and
   * bandwidth, each relative to its largest value, in thousandths of the largest weight.
   *
   * <p>An unknown value counts as the average of the known ones; a value that no entry reports
   * doesn't count.
   */
  static int[] of(List<EntryCapacity> capacities) {
    double[] processors = relative(capacities, EntryCapacity::milliCores);
    double[] links = relative(capacities, EntryCapacity::linkKbits);
    double[] lesser = new double[capacities.size()];
    Arrays.setAll(lesser, index -> Math.min(processors[index], links[index]));
    double largest = Arrays.stream(lesser).max().orElse(1);
    return Arrays.stream(lesser)
        .mapToInt(weight -> (int) Math.max(1, Math.round(weight / largest * NamedEntry.MAX_WEIGHT)))
        .toArray();
  }

  /** Returns one value of each capacity relative to the largest; all 1 if none is known. */
  private static double[] relative(
      List<EntryCapacity> capacities, ToIntFunction<EntryCapacity> value) {
    double[] values = capacities.stream().mapToDouble(value::applyAsInt).toArray();
    double[] known = Arrays.stream(values).filter(one -> one > 0).sorted().toArray();
    if (known.length == 0) {
      Arrays.fill(values, 1);
      return values;
    }
    double median = known[known.length / 2];
    double average = Arrays.stream(known).map(one -> limited(one, median)).average().orElse(1);
    Arrays.setAll(values, index -> values[index] > 0 ? limited(values[index], median) : average);
    double largest = Arrays.stream(values).max().orElse(1);
    Arrays.setAll(values, index -> values[index] / largest);
    return values;
  }

  private static double limited(double value, double median) {
    return Math.min(median * MAX_MEDIAN_FACTOR, Math.max(median / MAX_MEDIAN_FACTOR, value));
  }
}
