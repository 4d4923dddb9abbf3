package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Computes the delay after which a lookup is hedged, from the recent durations of its service.
 *
 * <p>Only recent durations count, so that a service that became slower is not hedged at its old
 * percentile indefinitely; until the percentile adapts, the budget limits the load.
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

  /** Adds the share of one lookup to the hedge budget. */
  void recordRequest() {
    budget.deposit();
  }

  boolean tryWithdraw() {
    return budget.tryWithdraw();
  }

  /** Records the duration of an attempt, or its duration so far if it was cancelled. */
  void recordDuration(String service, Instant from, Instant to) {
    durationsByService
        .computeIfAbsent(service, name -> new RecentDurations())
        .add(Duration.between(from, to));
  }

  /** Returns the hedge delay, or empty while there are too few recorded durations. */
  Optional<Duration> delay(String service) {
    RecentDurations durations = durationsByService.get(service);
    return durations == null || durations.count() < minSamples
        ? Optional.empty()
        : Optional.of(durations.percentile(percentile));
  }
}
