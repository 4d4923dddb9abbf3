package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** What a daemon knows of one upstream's rate limit, and what it has sent under it. */
final class TrackedRateLimit {

  private RateLimit limit = RateLimit.NONE;
  private Instant reportedAt = Instant.EPOCH;
  private RateLimit knownToLeader = RateLimit.NONE;
  private RateLimiter.@Nullable Quota quota;

  /** Returns the limit that the upstream named last. */
  RateLimit limit() {
    return limit;
  }

  /** Returns when it named that; long ago if it never named one. */
  Instant reportedAt() {
    return reportedAt;
  }

  /** Takes note of what an answer to this daemon named. */
  void recordLimit(RateLimit named, Instant now) {
    limit = named;
    reportedAt = now;
  }

  /** Takes note of what the upstream named at a time; returns whether that is newer. */
  boolean updateIfNewer(RateLimit named, Instant at) {
    boolean newer = at.isAfter(reportedAt);
    if (newer) {
      recordLimit(named, at);
    }
    return newer;
  }

  /**
   * Takes note of what the upstream named to another daemon.
   *
   * @param named the word, or null if the sender knows of none
   * @param now the present time
   * @return whether it is newer than what is known here
   */
  boolean updateIfNewer(@Nullable ReportedLimit named, Instant now) {
    return named != null && updateIfNewer(named.limit(), named.reportedAt(now));
  }

  /** Takes note of what the leader knows, or null if it knows of no limit. */
  void setKnownToLeader(@Nullable ReportedLimit named) {
    knownToLeader = named == null ? RateLimit.NONE : named.limit();
  }

  /** Returns whether the leader lacks what is known here. */
  boolean differsFromLeader() {
    return !limit.isNear(knownToLeader);
  }

  /** Returns what is to be told to others, or null if the upstream never named a limit. */
  @Nullable ReportedLimit toReport(Instant now) {
    boolean never = reportedAt.equals(Instant.EPOCH);
    return never ? null : new ReportedLimit(limit, Duration.between(reportedAt, now).toMillis());
  }

  /** Returns the account of sends under the limit, or null before the first. */
  RateLimiter.@Nullable Quota quota() {
    return quota;
  }

  /** Keeps the account of sends under the limit; null forgets it. */
  void quota(RateLimiter.@Nullable Quota newer) {
    quota = newer;
  }
}
