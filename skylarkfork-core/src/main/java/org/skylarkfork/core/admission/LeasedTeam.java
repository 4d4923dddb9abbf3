package org.skylarkfork.core.admission;

import java.time.Duration;
import java.time.Instant;
import org.skylarkfork.core.message.LimitMessage.TeamDemand;
import org.skylarkfork.core.message.LimitMessage.TeamShare;

/** A team's demand at this entry, and the share that this entry has a lease for. */
final class LeasedTeam {

  private static final double SMOOTHING_FACTOR = 0.5;
  private static final double MILLIS_PER_SECOND = 1000;
  private static final double MILLIS_PER_MINUTE = 60_000;

  private final String name;
  private final TeamShare emptyShare;
  private TeamShare grantedShare;
  private Instant grantDemandSentAt = Instant.EPOCH;
  private Instant leaseEnd = Instant.EPOCH;
  private TeamLoad reported;
  private Instant reportedAt;
  private Instant activeAt;
  private double requestsPerSecond;
  private double tokensPerMinute;

  LeasedTeam(String name, Instant now) {
    this.name = name;
    this.emptyShare = new TeamShare(name, 0, 0, 0);
    this.grantedShare = emptyShare;
    this.reported = TeamLoad.NONE;
    this.reportedAt = now;
    this.activeAt = now;
  }

  boolean hasLease(Instant now) {
    return now.isBefore(leaseEnd);
  }

  TeamShare leased(Instant now) {
    return hasLease(now) ? grantedShare : emptyShare;
  }

  /** Takes a grant; one for an older demand than the present grant's is ignored. */
  void applyGrant(TeamShare share, Instant demandSentAt, Instant end) {
    if (demandSentAt.isBefore(grantDemandSentAt)) {
      return;
    }
    grantedShare = share;
    grantDemandSentAt = demandSentAt;
    leaseEnd = end;
  }

  /** Returns whether the team asked for anything lately. */
  boolean isActive(TeamLoad load, Duration activityTimeout, Instant now) {
    if (load.active() || load.submittedRequests() != reported.submittedRequests()) {
      activeAt = now;
    }
    return now.isBefore(activeAt.plus(activityTimeout));
  }

  /** Returns the demand to report, with rates smoothed over reports. */
  TeamDemand demand(TeamLoad load, Instant now) {
    double millis = Math.max(1, Duration.between(reportedAt, now).toMillis());
    double requests =
        (load.submittedRequests() - reported.submittedRequests()) / millis * MILLIS_PER_SECOND;
    double tokens =
        (load.submittedTokens() - reported.submittedTokens()) / millis * MILLIS_PER_MINUTE;
    requestsPerSecond += SMOOTHING_FACTOR * (requests - requestsPerSecond);
    tokensPerMinute += SMOOTHING_FACTOR * (tokens - tokensPerMinute);
    reported = load;
    reportedAt = now;
    return new TeamDemand(
        name,
        load.running(),
        load.waiting(),
        requestsPerSecond,
        tokensPerMinute,
        grantDemandSentAt);
  }
}
