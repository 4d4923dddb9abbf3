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
  private static final double MEAN_LEARNING = 0.125;

  private static final double DEVIATION_LEARNING = 0.25;

  /** Deviations beyond the mean; RFC 6298 takes 4, an engine's times have a longer tail. */
  private static final double DEVIATIONS = 6;

  /** Least patience in means, since even times deviate as soon as load comes. */
  private static final double LEAST_MEANS = 2;

  /** Answers from which on the times count as known. */
  private static final int LEAST_ANSWERS = 8;

  /** Least patience as a share of the route's objective. */
  private static final double LEAST_SHARE = 0.3;

  private final Map<String, Times> byRoute = new HashMap<>();

  /** Takes note of a time to the first byte, or of one that was not waited out. */
  void waited(RelayRoute route, int model, double millis) {
    byRoute.computeIfAbsent(key(route, model), missing -> new Times()).add(millis);
  }

  /** Returns whether an attempt has waited longer than is usual for its route and model. */
  boolean exhausted(RelayRoute route, int model, double millis) {
    Times times = byRoute.get(key(route, model));
    if (times == null || times.answers < LEAST_ANSWERS) {
      return false;
    }
    double usual = times.mean + DEVIATIONS * times.deviation;
    double least = Math.max(LEAST_MEANS * times.mean, LEAST_SHARE * route.objectiveMillis());
    return millis > Math.max(usual, least);
  }

  private static String key(RelayRoute route, int model) {
    return route.name() + '/' + model;
  }

  private static final class Times {
    private int answers;
    private double mean;
    private double deviation;

    private void add(double millis) {
      if (answers == 0) {
        mean = millis;
        deviation = millis / 2;
      } else {
        deviation += DEVIATION_LEARNING * (Math.abs(millis - mean) - deviation);
        mean += MEAN_LEARNING * (millis - mean);
      }
      answers++;
    }
  }
}
