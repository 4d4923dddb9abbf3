package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Says after which time a lookup gets a second attempt, from the service's measured times.
 *
 * <p>The times of the last one or two windows count, so that a service that became slower is not
 * hedged for ever at its old percentile; the budget bounds the load until then.
 */
final class Hedging {

  private static final long LONGEST_MICROS = TimeUnit.MINUTES.toMicros(1);
  private static final int DIGITS = 2;
  private static final int WINDOW = 2000;
  private static final int RESERVE = 5;

  private final double percentile;
  private final int samples;
  private final AttemptBudget budget;
  private final Map<String, Window> services = new HashMap<>();

  private static final class Window {
    private Histogram present = new Histogram(LONGEST_MICROS, DIGITS);
    private Histogram before = new Histogram(LONGEST_MICROS, DIGITS);

    void add(long micros) {
      present.recordValue(Math.max(0, Math.min(LONGEST_MICROS, micros)));
      if (present.getTotalCount() >= WINDOW) {
        Histogram oldest = before;
        before = present;
        oldest.reset();
        present = oldest;
      }
    }

    Histogram fuller() {
      return present.getTotalCount() > before.getTotalCount() ? present : before;
    }
  }

  Hedging(RequestSettings settings) {
    this.percentile = settings.hedgePercentile();
    this.samples = settings.hedgeSamples();
    this.budget = new AttemptBudget(settings.hedgeShare(), RESERVE);
  }

  /** Takes note of a lookup, which earns its share of a hedge. */
  void earn() {
    budget.earn();
  }

  boolean tryTake() {
    return budget.tryTake();
  }

  /** Takes note of how long an attempt took, or had taken when it was given up. */
  void measured(String service, Instant from, Instant to) {
    long micros = TimeUnit.NANOSECONDS.toMicros(Duration.between(from, to).toNanos());
    services.computeIfAbsent(service, name -> new Window()).add(micros);
  }

  /** Returns after which time a lookup is hedged, or empty while too little is known. */
  Optional<Duration> delay(String service) {
    Window window = services.get(service);
    if (window == null || window.fuller().getTotalCount() < samples) {
      return Optional.empty();
    }
    long micros = window.fuller().getValueAtPercentile(percentile);
    return Optional.of(Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(micros)));
  }
}
