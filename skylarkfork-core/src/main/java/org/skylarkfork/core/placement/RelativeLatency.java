package org.skylarkfork.core.placement;

import java.time.Duration;
import java.time.Instant;

/**
 * The latency of one upstream relative to the usual latency of its service.
 *
 * <p>Upstreams of a service differ in speed, and one that becomes slow still passes health checks.
 * The measured factor decays towards 1; otherwise an upstream that was slow once would never be
 * tried again.
 */
public final class RelativeLatency {

  /** Weight of the newest answer; the newest six make up most of the mean. */
  private static final double SMOOTHING = 0.2;

  /** Time in which a deviation decays to a third; several times the pause between two answers. */
  private static final double DECAY_MILLIS = 8000;

  private static final double MIN_RATIO = 0.6;
  private static final double MAX_RATIO = 8;

  private double factor = 1;
  private Instant updatedAt = Instant.EPOCH;

  /** Returns the factor on expected times; 1 for an upstream of the usual speed. */
  public double factor(Instant now) {
    double elapsedMillis = Math.max(0, Duration.between(updatedAt, now).toMillis());
    return 1 + (factor - 1) * Math.exp(-elapsedMillis / DECAY_MILLIS);
  }

  /** Records the measured and the expected time of an answer, both in milliseconds. */
  public void recordAnswer(double millis, double expectedMillis, Instant now) {
    double ratio = Math.max(MIN_RATIO, Math.min(MAX_RATIO, millis / Math.max(1, expectedMillis)));
    factor = factor(now) + SMOOTHING * (ratio - factor(now));
    updatedAt = now;
  }
}
