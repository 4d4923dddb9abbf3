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
  private static final int SAMPLES = 20;
  private static final int FACTOR = 3;

  private final Duration shortest;
  private final Duration longest;
  private final Map<ModelVersion, RecentDurations> versions = new HashMap<>();

  FirstTokenTimeouts(RequestSettings settings) {
    this.shortest = settings.tokenTimeout();
    this.longest = settings.maxFirstTokenTimeout();
  }

  void measured(Attempt attempt, Instant now) {
    versions
        .computeIfAbsent(Objects.requireNonNull(attempt.version), version -> new RecentDurations())
        .add(Duration.between(attempt.dispatchedAt, now));
  }

  Duration timeout(ModelVersion version) {
    RecentDurations times = versions.get(version);
    if (times == null || times.count() < SAMPLES) {
      return longest;
    }
    Duration bound = times.percentile(PERCENTILE).multipliedBy(FACTOR);
    if (bound.compareTo(shortest) < 0) {
      return shortest;
    }
    return bound.compareTo(longest) > 0 ? longest : bound;
  }
}
