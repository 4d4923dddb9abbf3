package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** The rate limit of one upstream as a daemon knows it, and the daemon's quota under it. */
final class TrackedRateLimit {

  private RateLimit limit = RateLimit.NONE;
  private Instant reportedAt = Instant.EPOCH;
  private RateLimit knownToLeader = RateLimit.NONE;
  private RateLimiter.@Nullable Quota quota;

  /** Returns the limit that the upstream reported last. */
  RateLimit limit() {
    return limit;
  }

  /**
   * Returns when the upstream reported the limit; {@link Instant#EPOCH} if it never reported one.
   */
  Instant reportedAt() {
    return reportedAt;
  }

  /** Records the limit in an answer to this daemon. */
  void recordLimit(RateLimit reported, Instant now) {
    limit = reported;
    reportedAt = now;
  }

  /**
   * Records the limit that the upstream reported at a time, if that is newer than the known report;
   * returns whether it is.
   */
  boolean updateIfNewer(RateLimit reported, Instant at) {
    boolean newer = at.isAfter(reportedAt);
    if (newer) {
      recordLimit(reported, at);
    }
    return newer;
  }

  /**
   * Records the limit that the upstream reported to another daemon, if it is newer.
   *
   * @param reported the report, or null if the sender knows of none
   * @param now the present time
   * @return whether the report is newer than the known one
   */
  boolean updateIfNewer(@Nullable ReportedLimit reported, Instant now) {
    return reported != null && updateIfNewer(reported.limit(), reported.reportedAt(now));
  }

  /** Records the limit that the leader knows; null if it knows of none. */
  void setKnownToLeader(@Nullable ReportedLimit reported) {
    knownToLeader = reported == null ? RateLimit.NONE : reported.limit();
  }

  /** Returns whether the limit differs from the one that the leader knows. */
  boolean differsFromLeader() {
    return !limit.isNear(knownToLeader);
  }

  /** Returns the report for other daemons, or null if the upstream never reported a limit. */
  @Nullable ReportedLimit toReport(Instant now) {
    boolean never = reportedAt.equals(Instant.EPOCH);
    return never ? null : new ReportedLimit(limit, Duration.between(reportedAt, now).toMillis());
  }

  /** Returns the quota under the limit, or null before the first send. */
  RateLimiter.@Nullable Quota quota() {
    return quota;
  }

  /** Replaces the quota under the limit; null removes it. */
  void quota(RateLimiter.@Nullable Quota newer) {
    quota = newer;
  }
}
