package org.skylarkfork.core.waiting;

import java.time.Duration;
import java.time.Instant;

/** The recent rates at which calls of each rank arrive, decaying exponentially. */
final class ArrivalRates {

  /** Number of ranks that are distinguished. */
  private static final int RANKS = 10;

  /** Time constant of the decay, in seconds. */
  private static final double DECAY_SECONDS = 0.25;

  private static final double MILLIS_PER_SECOND = 1000;

  private final double[] perSecond = new double[RANKS];
  private Instant decayedAt = Instant.EPOCH;

  void record(int rank, Instant now) {
    decay(now);
    perSecond[index(rank)] += 1 / DECAY_SECONDS;
  }

  /** Returns the calls per second of one rank. */
  double at(int rank, Instant now) {
    decay(now);
    return perSecond[index(rank)];
  }

  /** Returns the calls per second of all ranks that are more urgent than one. */
  double before(int rank, Instant now) {
    decay(now);
    double sum = 0;
    for (int index = 0; index < index(rank); index++) {
      sum += perSecond[index];
    }
    return sum;
  }

  private static int index(int rank) {
    return Math.max(0, Math.min(RANKS - 1, rank));
  }

  private void decay(Instant now) {
    double seconds = Duration.between(decayedAt, now).toMillis() / MILLIS_PER_SECOND;
    if (seconds > 0) {
      double factor = Math.exp(-seconds / DECAY_SECONDS);
      for (int index = 0; index < RANKS; index++) {
        perSecond[index] *= factor;
      }
      decayedAt = now;
    }
  }
}
