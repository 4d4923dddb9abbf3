package org.skylarkfork.core.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Adaptive timeout for the first byte of an answer, after which the entry tries another upstream.
 *
 * <p>An upstream that is disconnected without a TCP reset, or that hangs, would otherwise hold a
 * request until its deadline. Like TCP's retransmission timeout, the timeout is derived from a
 * moving mean and mean deviation, kept per route and model because their times differ tenfold.
 * Under load the observed times and thus the timeout grow, so that a busy service doesn't receive
 * its requests twice.
 */
final class FirstByteTimeout {

  /** Weight of the newest sample in the mean, as in RFC 6298. */
  private static final double MEAN_GAIN = 0.125;

  /** Weight of the newest sample in the mean deviation, as in RFC 6298. */
  private static final double DEVIATION_GAIN = 0.25;

  /**
   * Number of mean deviations added to the mean; RFC 6298 uses 4, but engine times have a longer
   * tail.
   */
  private static final double DEVIATION_FACTOR = 6;

  /** Minimum timeout as a multiple of the mean, since uniform times start to vary under load. */
  private static final double MIN_MEAN_FACTOR = 2;

  /** Minimum number of samples before the timeout applies. */
  private static final int MIN_SAMPLES = 8;

  /** Minimum timeout as a share of the route's objective. */
  private static final double MIN_OBJECTIVE_SHARE = 0.3;

  private final Map<String, Estimate> byRoute = new HashMap<>();

  /**
   * Records a time to the first byte, or the time until an attempt was abandoned, in milliseconds.
   */
  void addSample(RelayRoute route, int modelIndex, double millis) {
    byRoute.computeIfAbsent(key(route, modelIndex), missing -> new Estimate()).add(millis);
  }

  /**
   * Returns whether a wait in milliseconds exceeds the timeout of a route and model; false until
   * enough samples are recorded.
   */
  boolean isExceeded(RelayRoute route, int modelIndex, double millis) {
    Estimate estimate = byRoute.get(key(route, modelIndex));
    if (estimate == null || estimate.sampleCount < MIN_SAMPLES) {
      return false;
    }
    double expected = estimate.mean + DEVIATION_FACTOR * estimate.deviation;
    double minimum =
        Math.max(MIN_MEAN_FACTOR * estimate.mean, MIN_OBJECTIVE_SHARE * route.objectiveMillis());
    return millis > Math.max(expected, minimum);
  }

  private static String key(RelayRoute route, int modelIndex) {
    return route.name() + '/' + modelIndex;
  }

  private static final class Estimate {
    private int sampleCount;
    private double mean;
    private double deviation;

    private void add(double millis) {
      if (sampleCount == 0) {
        mean = millis;
        deviation = millis / 2;
      } else {
        deviation += DEVIATION_GAIN * (Math.abs(millis - mean) - deviation);
        mean += MEAN_GAIN * (millis - mean);
      }
      sampleCount++;
    }
  }
}
