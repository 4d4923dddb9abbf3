package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * Divides what a limited upstream takes among the daemons that send to it.
 *
 * <p>The parts of all daemons add up to {@link #perSecond} and {@link #burst}, whatever each of
 * them does, so that no word between them is needed before a send.
 */
interface RateDivision {

  /**
   * Requests that all daemons together may send to a limited upstream at once, however small its
   * limit; as many entries can have a part of it.
   */
  double BASE_BURST = 4;

  /** Seconds whose requests may come at once beyond {@link #BASE_BURST}. */
  double BURST_SECONDS = 1.5;

  /**
   * Least rate at which a limited upstream is asked, in requests a second: one that nobody asks
   * can't say that its limit is lifted.
   */
  double MIN_PER_SECOND = 0.2;

  /** Returns this daemon's part at an upstream that names a limit. */
  RateShare share(RelayService service, TrackedUpstream track, Instant now);

  /** Returns the requests a second that all daemons together send to an upstream. */
  static double perSecond(RateLimit limit) {
    return Math.max(MIN_PER_SECOND, limit.perSecond());
  }

  /** Returns the requests that all daemons together may send to an upstream at once. */
  static double burst(RateLimit limit) {
    return BASE_BURST + BURST_SECONDS * limit.perSecond();
  }

  /** Returns whether schedulers place the requests of a service. */
  static boolean isScheduled(RelayService service, RelayView view) {
    return service.engine() != null && !view.schedulers().isEmpty();
  }

  /**
   * Returns how many entries may send to an upstream without asking its scheduler, one request at
   * once each.
   */
  static int maxDirectSenders(RateLimit limit) {
    return (int) Math.max(1, (1 - ColdStartLimiter.SCHEDULER_SHARE) * burst(limit));
  }
}
