package org.skylarkfork.core.returning;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** Rate at which requests have recently ended, from a count that decays with time. */
final class EndRate {

  /**
   * Time constant of the decay, in seconds; long enough to know the usual rate after an outage of a
   * second.
   */
  private static final double DECAY_SECONDS = 2;

  /**
   * Minimum period over which a rate is computed, in seconds. The ends of a single burst would
   * otherwise show a rate far above the usual one.
   */
  private static final double MIN_PERIOD_SECONDS = 0.25;

  /** Step before any request has ended, in microseconds. */
  private static final long INITIAL_STEP_MICROS = 20_000;

  private static final long MIN_STEP_MICROS = 1000;

  /**
   * Maximum step, in microseconds. The ends at one entry are few if it receives few requests,
   * though its upstreams, which serve other entries too, have capacity far sooner.
   */
  private static final long MAX_STEP_MICROS = 50_000;

  private static final double MICROS_PER_SECOND = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  private double count;
  private @Nullable Instant startedAt;
  private Instant countedAt = Instant.EPOCH;

  void add(Instant now) {
    if (startedAt == null) {
      startedAt = now;
    }
    count = decayed(now) + 1;
    countedAt = now;
  }

  /** Returns the time in which one request ends, in microseconds, within fixed bounds. */
  long stepMicros(Instant now) {
    Instant started = startedAt;
    if (started == null) {
      return INITIAL_STEP_MICROS;
    }
    double period = Math.max(MIN_PERIOD_SECONDS, seconds(started, now));
    double observedSeconds = DECAY_SECONDS * (1 - Math.exp(-period / DECAY_SECONDS));
    double perSecond = decayed(now) / observedSeconds;
    double step = MICROS_PER_SECOND / Math.max(perSecond, 1 / MICROS_PER_SECOND);
    return Math.max(MIN_STEP_MICROS, Math.min(MAX_STEP_MICROS, (long) step));
  }

  private double decayed(Instant now) {
    return count * Math.exp(-Math.max(0, seconds(countedAt, now)) / DECAY_SECONDS);
  }

  private static double seconds(Instant from, Instant to) {
    return Duration.between(from, to).toNanos() / NANOS_PER_SECOND;
  }
}
