package org.skylarkfork.core.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * How long an entry waits for the first byte of an answer before it asks another upstream.
 *
 * <p>An upstream that is cut off without a reset, or that fails by silence, would otherwise keep a
 * request until its deadline. As TCP does for its retransmission timeout, the entry keeps the mean
 * of the usual times and their mean deviation, for each route and model, since these differ
 * tenfold. Under load the times grow and the patience with them, so that a busy service doesn't get
 * its requests twice.
 */
final class FirstByteTimeout {

  /** Weight of the newest time in the mean and in the deviation, as in RFC 6298. */
  private static final double MEAN_GAIN = 0.125;

  private static final double DEVIATION_GAIN = 0.25;

  /** Deviations beyond the mean; RFC 6298 takes 4, an engine's times have a longer tail. */
  private static final double DEVIATION_FACTOR = 6;

  /** Least patience in means, since even times deviate as soon as load comes. */
  private static final double MIN_MEAN_FACTOR = 2;

  /** Answers from which on the times count as known. */
  private static final int MIN_SAMPLES = 8;

  /** Least patience as a share of the route's objective. */
  private static final double MIN_OBJECTIVE_SHARE = 0.3;

  private final Map<String, Estimate> byRoute = new HashMap<>();

  /** Takes note of a time to the first byte, or of one that was not waited out. */
  void record(RelayRoute route, int model, double millis) {
    byRoute.computeIfAbsent(key(route, model), missing -> new Estimate()).add(millis);
  }

  /** Returns whether an attempt has waited longer than is usual for its route and model. */
  boolean isExceeded(RelayRoute route, int model, double millis) {
    Estimate estimate = byRoute.get(key(route, model));
    if (estimate == null || estimate.answers < MIN_SAMPLES) {
      return false;
    }
    double expected = estimate.mean + DEVIATION_FACTOR * estimate.deviation;
    double minimum =
        Math.max(MIN_MEAN_FACTOR * estimate.mean, MIN_OBJECTIVE_SHARE * route.objectiveMillis());
    return millis > Math.max(expected, minimum);
  }

  private static String key(RelayRoute route, int model) {
    return route.name() + '/' + model;
  }

  private static final class Estimate {
    private int answers;
    private double mean;
    private double deviation;

    private void add(double millis) {
      if (answers == 0) {
        mean = millis;
        deviation = millis / 2;
      } else {
        deviation += DEVIATION_GAIN * (Math.abs(millis - mean) - deviation);
        mean += MEAN_GAIN * (millis - mean);
      }
      answers++;
    }
  }
}
