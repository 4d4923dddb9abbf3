package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.skylarkfork.core.configuration.ModelVersion;

/**
 * Says how long an engine may take to its first token, from the version's measured times.
 *
 * <p>In a burst the engines' queues grow, and with them the time to the first token. A fixed bound
 * would then fail requests that are only waiting their turn, and send them again into the same
 * queues; this one grows with the measured times. A silent engine is still found in a few times
 * what is usual.
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
