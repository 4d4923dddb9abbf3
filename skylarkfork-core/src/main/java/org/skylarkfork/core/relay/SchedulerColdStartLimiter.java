package org.skylarkfork.core.relay;

import java.time.Instant;

/** Keeps a scheduler's part of what the cold engines of its group bear. */
final class SchedulerColdStartLimiter implements ColdStartLimiter {

  /** Share of what a cold engine bears that a warm one gets before others are preferred. */
  private static final double CROWDED_SHARE = 1.25;

  private final SchedulerRole role;

  SchedulerColdStartLimiter(SchedulerRole role) {
    this.role = role;
  }

  @Override
  public boolean allows(RelayService service, TrackedUpstream track, Instant now) {
    if (!service.cold().isBounded() || !track.isCold(now)) {
      return true;
    }
    int most = (int) (SCHEDULER_SHARE * service.cold().perSecond());
    return role.ownsEngine(track.instance().id(), now) && track.recentSends(now) < most;
  }

  @Override
  public boolean exceedsColdRate(RelayService service, TrackedUpstream track, Instant now) {
    return service.cold().isBounded()
        && track.recentSends(now) >= CROWDED_SHARE * service.cold().perSecond();
  }
}
