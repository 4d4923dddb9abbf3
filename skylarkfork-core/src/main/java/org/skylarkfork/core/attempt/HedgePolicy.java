package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Says after which time a lookup gets a second attempt, from the service's measured times.
 *
 * <p>Only recent times count, so that a service that became slower is not hedged for ever at its
 * old percentile; the budget bounds the load until then.
 */
final class HedgePolicy {

  private static final int RESERVE = 5;

  private final double percentile;
  private final int minSamples;
  private final AttemptBudget budget;
  private final Map<String, RecentDurations> durationsByService = new HashMap<>();

  HedgePolicy(RequestSettings settings) {
    this.percentile = settings.hedgePercentile();
    this.minSamples = settings.hedgeSamples();
    this.budget = new AttemptBudget(settings.hedgeShare(), RESERVE);
  }

  /** Takes note of a lookup, which earns its share of a hedge. */
  void recordRequest() {
    budget.deposit();
  }

  boolean tryWithdraw() {
    return budget.tryWithdraw();
  }

  /** Takes note of how long an attempt took, or had taken when it was given up. */
  void recordDuration(String service, Instant from, Instant to) {
    durationsByService
        .computeIfAbsent(service, name -> new RecentDurations())
        .add(Duration.between(from, to));
  }

  /** Returns after which time a lookup is hedged, or empty while too little is known. */
  Optional<Duration> delay(String service) {
    RecentDurations durations = durationsByService.get(service);
    return durations == null || durations.count() < minSamples
        ? Optional.empty()
        : Optional.of(durations.percentile(percentile));
  }
}
