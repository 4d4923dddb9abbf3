package org.skylarkfork.standin.measure.daemon;

import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.standin.measure.VirtualTime;

/** A rating service that is slow, sometimes late and sometimes silent. */
final class FakeRating {

  private static final double MISSING_SHARE = 0.03;
  private static final double LATE_SHARE = 0.02;
  private static final long LATE_MICROS = 4_000_000;
  private static final long LEAST_MICROS = 150_000;
  private static final long SPREAD_MICROS = 200_000;
  private static final long MICROS_PER_MILLI = 1_000;

  private final VirtualTime time;
  private final UniformRandomProvider random;
  private final Consumer<Event> daemon;
  private final Map<String, Double> scores;
  private boolean missing;

  /**
   * Makes the service.
   *
   * @param scores the rating that the answer of each attempt deserves
   */
  FakeRating(
      VirtualTime time,
      UniformRandomProvider random,
      Consumer<Event> daemon,
      Map<String, Double> scores) {
    this.time = time;
    this.random = random;
    this.daemon = daemon;
    this.scores = scores;
  }

  void missing(boolean now) {
    missing = now;
  }

  void rate(UpstreamEffect.RequestRating asked) {
    long micros = LEAST_MICROS + random.nextLong(SPREAD_MICROS);
    if (random.nextDouble() < LATE_SHARE) {
      micros = LATE_MICROS;
    }
    long timeout = asked.timeoutMillis() * MICROS_PER_MILLI;
    if (missing || random.nextDouble() < MISSING_SHARE || micros > timeout) {
      UpstreamEvent none =
          new UpstreamEvent.RatingMissing(asked.requestId(), asked.attemptId(), "no answer");
      time.after(timeout, () -> daemon.accept(none));
      return;
    }
    double score = scores.getOrDefault(asked.attemptId(), 0.0);
    UpstreamEvent rated = new UpstreamEvent.Rated(asked.requestId(), asked.attemptId(), score);
    time.after(micros, () -> daemon.accept(rated));
  }
}
