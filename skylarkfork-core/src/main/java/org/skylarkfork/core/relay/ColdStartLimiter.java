package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * Bounds what is sent to cold upstreams.
 *
 * <p>An upstream that has just come back has an empty queue and would draw three times its share of
 * the work; at that rate it falls over again. No daemon sees all that is sent to one upstream, so
 * what an upstream bears in a second is divided: where schedulers place prompts, the scheduler of
 * its group gives out {@link #SCHEDULER_SHARE} of it, and all entries together send the rest
 * without asking. Each implementation keeps its part by itself, so the sum holds without a word
 * between them, and holds through the loss of any of them.
 */
interface ColdStartLimiter {

  /**
   * Time in which sends are counted: a second, and what the ways of two requests to one upstream
   * may differ by.
   */
  Duration WINDOW = Duration.ofMillis(1150);

  /** Share of what a cold or limited upstream takes that its scheduler gives out, if it has one. */
  double SCHEDULER_SHARE = 5 / 6.0;

  /** Returns whether an upstream may get one more request now. */
  boolean allows(RelayService service, TrackedUpstream track, Instant now);

  /**
   * Returns whether an upstream has had as many requests lately as it could bear if it turned cold
   * now, which is heard up to a heartbeat later. Such a one gets more only where no other is left.
   */
  boolean exceedsColdRate(RelayService service, TrackedUpstream track, Instant now);
}
