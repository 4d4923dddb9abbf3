package org.skylarkfork.core.relay;

import java.time.Instant;

/** A scheduler's part of what limited engines of its group take: all but what entries keep. */
final class SchedulerRateDivision implements RateDivision {

  private final SchedulerRole role;

  SchedulerRateDivision(SchedulerRole role) {
    this.role = role;
  }

  @Override
  public RateShare share(RelayService service, TrackedUpstream track, Instant now) {
    if (!role.ownsEngine(track.instance().id(), now)) {
      return RateShare.NONE;
    }
    RateLimit limit = track.rateLimit();
    double perSecond = RateDivision.perSecond(limit) * ColdStartLimiter.SCHEDULER_SHARE;
    double burst = RateDivision.burst(limit) - RateDivision.maxDirectSenders(limit);
    return new RateShare(perSecond, burst, 0, role.since());
  }
}
