package org.skylarkfork.core.order;

import java.time.Duration;

/**
 * How orders are given.
 *
 * @param leaseDuration how long the lease is valid after a renewal
 * @param renewAfter how long after a renewal the next one is sent
 * @param drift greatest difference of two clocks' speeds, as a share
 * @param orderTimeout how long an order may take
 * @param resendAfter when an order without a known outcome is sent again
 * @param refusedPause how long an engine that refused an order is passed over
 * @param goneAfter how long an engine must be unknown until its orders are given up
 * @param unloadDelay how long sessions may still use a replaced version before it is unloaded
 * @param leastEngines engines that load a version even for a small share of the work
 * @param openOrders most orders at the same time
 * @param budget how fast weights may be fetched
 */
public record OrderSettings(
    Duration leaseDuration,
    Duration renewAfter,
    double drift,
    Duration orderTimeout,
    Duration resendAfter,
    Duration refusedPause,
    Duration goneAfter,
    Duration unloadDelay,
    int leastEngines,
    int openOrders,
    WeightBudget budget) {

  /** The settings that daemons use unless told otherwise. */
  public static final OrderSettings DEFAULT =
      new OrderSettings(
          Duration.ofSeconds(10),
          Duration.ofSeconds(3),
          0.01,
          Duration.ofSeconds(30),
          Duration.ofSeconds(60),
          Duration.ofSeconds(60),
          Duration.ofSeconds(60),
          Duration.ofMinutes(30),
          2,
          4,
          WeightBudget.DEFAULT);
}
