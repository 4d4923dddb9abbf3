package org.skylarkfork.core.relay;

import java.time.Instant;
import org.skylarkfork.core.routing.StableHash;

/**
 * Keeps an entry's own part of what cold upstreams bear.
 *
 * <p>All entries together may send {@code perSecond}, or the sixth of it that schedulers leave.
 * With few entries each has an equal whole number of it. With more entries than that, each upstream
 * has some of them by a hash of both names, half as many as the bound allows in the mean, and each
 * of these may send one request a second. Of 55 entries and 3 requests a second 1.5 are meant in
 * the mean; that there are more than 12 for one upstream has a chance below one in a million.
 */
final class EntryColdStartLimiter implements ColdStartLimiter {

  /** Share of the bound that is meant to be used where a hash spreads it; the rest is for luck. */
  private static final double SPREAD_SHARE = 0.5;

  private final RelayView view;
  private final String self;

  /**
   * Makes a limiter.
   *
   * @param view what the entry believes
   * @param self name of the entry, unlike those of all others
   */
  EntryColdStartLimiter(RelayView view, String self) {
    this.view = view;
    this.self = self;
  }

  @Override
  public boolean allows(RelayService service, TrackedUpstream track, Instant now) {
    if (!service.cold().isBounded() || !track.isCold(now)) {
      return true;
    }
    // Before the leader has told how many entries there are, each would think that it is alone.
    return view.settled() && track.recentSends(now) < most(service, track);
  }

  private int most(RelayService service, TrackedUpstream track) {
    double bound = service.cold().perSecond();
    if (service.engine() != null && !view.schedulers().isEmpty()) {
      bound *= 1 - SCHEDULER_SHARE;
    }
    int each = (int) (bound / view.entries());
    if (each > 0) {
      return each;
    }
    return hash(track) * view.entries() < SPREAD_SHARE * bound ? 1 : 0;
  }

  /** Returns a number from 0 to 1 that is this entry's for an upstream. */
  private double hash(TrackedUpstream track) {
    return (StableHash.of(self, track.instance().id()) >>> 11) * 0x1.0p-53;
  }

  /** An entry sees too little of the work of warm upstreams to tell. */
  @Override
  public boolean exceedsColdRate(RelayService service, TrackedUpstream track, Instant now) {
    return false;
  }
}
