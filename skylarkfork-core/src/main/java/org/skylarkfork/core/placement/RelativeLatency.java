package org.skylarkfork.core.placement;

import java.time.Duration;
import java.time.Instant;

/**
 * How much longer one upstream takes than its service usually does.
 *
 * <p>Upstreams of a service differ in speed, and one that turns slow still passes health checks.
 * What was learned fades, or an upstream that was slow once would never be tried again.
 */
public final class RelativeLatency {

  /** Weight of the newest answer; six of them make most of the mean. */
  private static final double LEARNING = 0.2;

  /** Time in which a surprise fades to a third; some times the pause between two answers. */
  private static final double FADING_MILLIS = 8000;

  private static final double LEAST = 0.6;
  private static final double MOST = 8;

  private double factor = 1;
  private Instant learnedAt = Instant.EPOCH;

  /** Returns the factor on expected times; 1 for a usual upstream. */
  public double factor(Instant now) {
    double passed = Math.max(0, Duration.between(learnedAt, now).toMillis());
    return 1 + (factor - 1) * Math.exp(-passed / FADING_MILLIS);
  }

  /** Takes note of an answer: the time that it took and the time that was expected. */
  public void recordAnswer(double millis, double expectedMillis, Instant now) {
    double seen = Math.max(LEAST, Math.min(MOST, millis / Math.max(1, expectedMillis)));
    factor = factor(now) + LEARNING * (seen - factor(now));
    learnedAt = now;
  }
}
