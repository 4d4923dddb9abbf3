package org.skylarkfork.core.admission;

import java.time.Duration;
import java.time.Instant;
import org.skylarkfork.core.message.LimitMessage.TeamDemand;
import org.skylarkfork.core.message.LimitMessage.TeamShare;

/** A team's demand at this entry, and the share that this entry has a lease for. */
final class LeasedTeam {

  private static final double SMOOTHING = 0.5;
  private static final double MILLIS = 1000;
  private static final double MILLIS_PER_MINUTE = 60_000;

  private final String name;
  private final TeamShare nothing;
  private TeamShare granted;
  private Instant grantedFor = Instant.EPOCH;
  private Instant leaseEnd = Instant.EPOCH;
  private TeamLoad reported;
  private Instant reportedAt;
  private Instant activeAt;
  private double requestsPerSecond;
  private double tokensPerMinute;

  LeasedTeam(String name, Instant now) {
    this.name = name;
    this.nothing = new TeamShare(name, 0, 0, 0);
    this.granted = nothing;
    this.reported = TeamLoad.NONE;
    this.reportedAt = now;
    this.activeAt = now;
  }

  boolean hasLease(Instant now) {
    return now.isBefore(leaseEnd);
  }

  TeamShare leased(Instant now) {
    return hasLease(now) ? granted : nothing;
  }

  /** Takes a grant; one for an older demand than the present grant's is ignored. */
  void take(TeamShare share, Instant demandSentAt, Instant end) {
    if (demandSentAt.isBefore(grantedFor)) {
      return;
    }
    granted = share;
    grantedFor = demandSentAt;
    leaseEnd = end;
  }

  /** Returns whether the team asked for anything lately. */
  boolean isActive(TeamLoad load, Duration recent, Instant now) {
    if (load.active() || load.askedRequests() != reported.askedRequests()) {
      activeAt = now;
    }
    return now.isBefore(activeAt.plus(recent));
  }

  /** Returns the demand to report, with rates smoothed over reports. */
  TeamDemand demand(TeamLoad load, Instant now) {
    double millis = Math.max(1, Duration.between(reportedAt, now).toMillis());
    double requests = (load.askedRequests() - reported.askedRequests()) / millis * MILLIS;
    double tokens = (load.askedTokens() - reported.askedTokens()) / millis * MILLIS_PER_MINUTE;
    requestsPerSecond += SMOOTHING * (requests - requestsPerSecond);
    tokensPerMinute += SMOOTHING * (tokens - tokensPerMinute);
    reported = load;
    reportedAt = now;
    return new TeamDemand(
        name, load.running(), load.waiting(), requestsPerSecond, tokensPerMinute, grantedFor);
  }
}
