package org.skylarkfork.core.order;

import java.time.Duration;

/**
 * How orders are given.
 *
 * @param leaseDuration how long the lease is valid after a renewal
 * @param renewalInterval how long after a renewal the next one is sent
 * @param maxClockDrift greatest difference of two clocks' speeds, as a share
 * @param orderTimeout how long an order may take
 * @param resendInterval when an order without a known outcome is sent again
 * @param refusalBackoff how long an engine that refused an order is passed over
 * @param unknownEngineTimeout how long an engine must be unknown until its orders are given up
 * @param unloadDelay how long sessions may still use a replaced version before it is unloaded
 * @param minEngines engines that load a version even for a small share of the work
 * @param maxOpenOrders most orders at the same time
 * @param budget how fast weights may be fetched
 */
public record OrderSettings(
    Duration leaseDuration,
    Duration renewalInterval,
    double maxClockDrift,
    Duration orderTimeout,
    Duration resendInterval,
    Duration refusalBackoff,
    Duration unknownEngineTimeout,
    Duration unloadDelay,
    int minEngines,
    int maxOpenOrders,
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
