package org.skylarkfork.core.quality;

import java.util.Optional;

/**
 * What a good version shows at least in one signal.
 *
 * @param minMean least mean value, 0 to 1
 * @param firstSlow first class of delays that counts as late
 */
record Expectation(double minMean, int firstSlowClass) {

  /** Standard errors by which a reference may have been lucky. */
  private static final double REFERENCE_STANDARD_ERRORS = 2;

  private static final double LOWEST_MIN_MEAN = 0.02;
  private static final double HIGHEST_MIN_MEAN = 0.98;

  /**
   * Makes an expectation from a reference's counts.
   *
   * @param minSamples how many values the reference needs
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
   * Mean and spread of one signal's values.
   *
   * @param size how many values
   * @param mean their mean, or 0 if there are none
   * @param standardError of the mean
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
      // A few equal values show no spread, yet their mean isn't sure.
      double error = Math.sqrt((variance + 1.0 / size) / size);
      return new Sample(size, mean, error);
    }
  }
}
