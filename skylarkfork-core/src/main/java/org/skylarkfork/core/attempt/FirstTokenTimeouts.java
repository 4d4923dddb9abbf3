package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.skylarkfork.core.configuration.ModelVersion;

/**
 * Computes the timeout of the first token for each version, from recent times to the first token.
 *
 * <p>During a burst the queues of the engines grow, and with them the time to the first token. A
 * fixed timeout would fail requests that are only queued and would send them into the same queues
 * again; this timeout grows with the measured times. A silent engine is still detected within a few
 * times the usual duration.
 */
final class FirstTokenTimeouts {

  private static final double PERCENTILE = 99;
  private static final int MIN_SAMPLES = 20;
  private static final int TIMEOUT_FACTOR = 3;

  private final Duration minTimeout;
  private final Duration maxTimeout;
  private final Map<ModelVersion, RecentDurations> durationsByVersion = new HashMap<>();

  FirstTokenTimeouts(RequestSettings settings) {
    this.minTimeout = settings.tokenTimeout();
    this.maxTimeout = settings.maxFirstTokenTimeout();
  }

  void record(Attempt attempt, Instant now) {
    durationsByVersion
        .computeIfAbsent(Objects.requireNonNull(attempt.version), version -> new RecentDurations())
        .add(Duration.between(attempt.dispatchedAt, now));
  }

  Duration timeout(ModelVersion version) {
    RecentDurations durations = durationsByVersion.get(version);
    if (durations == null || durations.count() < MIN_SAMPLES) {
      return maxTimeout;
    }
    Duration bound = durations.percentile(PERCENTILE).multipliedBy(TIMEOUT_FACTOR);
    if (bound.compareTo(minTimeout) < 0) {
      return minTimeout;
    }
    return bound.compareTo(maxTimeout) > 0 ? maxTimeout : bound;
  }
}
