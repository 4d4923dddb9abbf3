package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * Divides the rate limit of an upstream among the daemons that send to it.
 *
 * <p>The parts of all daemons add up to {@link #perSecond} and {@link #burst} whatever each daemon
 * does, so no coordination is needed before a send.
 */
interface RateDivision {

  /**
   * Number of requests that all daemons together may send to a limited upstream at once, however
   * small its limit is; as many entries can have a part of the limit.
   */
  double BASE_BURST = 4;

  /** Seconds whose requests may be sent at once in addition to {@link #BASE_BURST}. */
  double BURST_SECONDS = 1.5;

  /**
   * Minimum request rate to a limited upstream, in requests per second: an upstream that receives
   * no requests can't report that its limit is lifted.
   */
  double MIN_PER_SECOND = 0.2;

  /** Returns this daemon's part of the rate of an upstream that reports a limit. */
  RateShare share(RelayService service, TrackedUpstream upstream, Instant now);

  /** Returns the requests per second that all daemons together send to an upstream. */
  static double perSecond(RateLimit limit) {
    return Math.max(MIN_PER_SECOND, limit.perSecond());
  }

  /** Returns the number of requests that all daemons together may send to an upstream at once. */
  static double burst(RateLimit limit) {
    return BASE_BURST + BURST_SECONDS * limit.perSecond();
  }

  /** Returns whether schedulers place the requests of a service. */
  static boolean isScheduled(RelayService service, RelayView view) {
    return service.engine() != null && !view.schedulers().isEmpty();
  }

  /**
   * Returns how many entries may send to an upstream without asking its scheduler, each one request
   * at once.
   */
  static int maxDirectSenders(RateLimit limit) {
    return (int) Math.max(1, (1 - ColdStartLimiter.SCHEDULER_SHARE) * burst(limit));
  }
}
