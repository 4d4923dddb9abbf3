package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits the requests that are sent to cold upstreams.
 *
 * <p>An upstream that has just restarted has an empty queue and would attract three times its share
 * of the requests; at that rate it fails again. No daemon sees all requests to one upstream, so the
 * rate that an upstream can handle is divided: where schedulers place prompts, the scheduler of its
 * group assigns {@link #SCHEDULER_SHARE} of it, and all entries together send the rest without
 * asking. Each implementation enforces its own part locally, so the sum stays within the limit
 * without any coordination, also after the loss of any daemon.
 */
interface ColdStartLimiter {

  /**
   * Window in which sends are counted: one second, plus the difference in transit time that two
   * requests to one upstream may have.
   */
  Duration WINDOW = Duration.ofMillis(1150);

  /**
   * Share of the rate of a cold or rate-limited upstream that its scheduler assigns, if it has one.
   */
  double SCHEDULER_SHARE = 5 / 6.0;

  /** Returns whether an upstream may receive one more request now. */
  boolean allows(RelayService service, TrackedUpstream upstream, Instant now);

  /**
   * Returns whether an upstream has recently received as many requests as it could handle if it
   * turned cold now, which becomes known up to a heartbeat later. Such an upstream receives more
   * only if no other is left.
   */
  boolean exceedsColdRate(RelayService service, TrackedUpstream upstream, Instant now);
}
