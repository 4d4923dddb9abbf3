package org.skylarkfork.core.relay;

import java.time.Instant;

/** Enforces a scheduler's part of the request rate of the cold engines of its group. */
final class SchedulerColdStartLimiter implements ColdStartLimiter {

  /**
   * Share of the rate of a cold engine that a warm engine receives before other engines are
   * preferred.
   */
  private static final double MAX_COLD_RATE_SHARE = 1.25;

  private final SchedulerRole role;

  SchedulerColdStartLimiter(SchedulerRole role) {
    this.role = role;
  }

  @Override
  public boolean allows(RelayService service, TrackedUpstream upstream, Instant now) {
    if (!service.cold().isBounded() || !upstream.isCold(now)) {
      return true;
    }
    int maxSends = (int) (SCHEDULER_SHARE * service.cold().perSecond());
    return role.ownsEngine(upstream.instance().id(), now) && upstream.recentSends(now) < maxSends;
  }

  @Override
  public boolean exceedsColdRate(RelayService service, TrackedUpstream upstream, Instant now) {
    return service.cold().isBounded()
        && upstream.recentSends(now) >= MAX_COLD_RATE_SHARE * service.cold().perSecond();
  }
}
