package org.skylarkfork.core.quality;

import java.util.Optional;

/**
 * The minimum that a good version reaches in one signal.
 *
 * @param minMean minimum mean value, 0 to 1
 * @param firstSlowClass first class of delays that counts as late
 */
record Expectation(double minMean, int firstSlowClass) {

  /**
   * Standard errors that are subtracted from a reference's mean, since it may be high by chance.
   */
  private static final double REFERENCE_STANDARD_ERRORS = 2;

  private static final double LOWEST_MIN_MEAN = 0.02;
  private static final double HIGHEST_MIN_MEAN = 0.98;

  /**
   * Returns the expectation that a reference's counts support.
   *
   * @param minSamples minimum number of values in the reference
   * @return the expectation, or empty if the reference has too few values
   */
  static Optional<Expectation> of(
      Signal signal, long[] reference, double tolerance, int minSamples) {
    int firstSlow = Signal.firstSlowClass(reference);
    Sample sample = Sample.of(signal, reference, firstSlow);
    if (sample.size() < minSamples) {
      return Optional.empty();
    }
    double mean = sample.mean() - REFERENCE_STANDARD_ERRORS * sample.standardError() - tolerance;
    return Optional.of(
        new Expectation(Math.max(LOWEST_MIN_MEAN, Math.min(HIGHEST_MIN_MEAN, mean)), firstSlow));
  }

  /**
   * The mean and its standard error of one signal's values.
   *
   * @param size number of values
   * @param mean mean of the values, or 0 if there are none
   * @param standardError standard error of the mean, or 1 if there are no values
   */
  record Sample(long size, double mean, double standardError) {

    static Sample of(Signal signal, long[] counts, int firstSlow) {
      long size = 0;
      double sum = 0;
      double squares = 0;
      for (int i = 0; i < signal.classes(); i++) {
        long count = signal.count(counts, i, firstSlow);
        size += count;
        sum += count * signal.value(i);
        squares += count * signal.value(i) * signal.value(i);
      }
      if (size == 0) {
        return new Sample(0, 0, 1);
      }
      double mean = sum / size;
      double variance = Math.max(0, squares / size - mean * mean);
      // A few equal values have no variance, yet their mean is uncertain.
      double error = Math.sqrt((variance + 1.0 / size) / size);
      return new Sample(size, mean, error);
    }
  }
}
