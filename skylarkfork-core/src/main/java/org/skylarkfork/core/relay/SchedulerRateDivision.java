package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * Assigns a scheduler its part of the rate of the limited engines of its group: all but the
 * entries' part.
 */
final class SchedulerRateDivision implements RateDivision {

  private final SchedulerRole role;

  SchedulerRateDivision(SchedulerRole role) {
    this.role = role;
  }

  @Override
  public RateShare share(RelayService service, TrackedUpstream upstream, Instant now) {
    if (!role.ownsEngine(upstream.instance().id(), now)) {
      return RateShare.NONE;
    }
    RateLimit limit = upstream.rateLimit();
    double perSecond = RateDivision.perSecond(limit) * ColdStartLimiter.SCHEDULER_SHARE;
    double burst = RateDivision.burst(limit) - RateDivision.maxDirectSenders(limit);
    return new RateShare(perSecond, burst, 0, role.since());
  }
}
