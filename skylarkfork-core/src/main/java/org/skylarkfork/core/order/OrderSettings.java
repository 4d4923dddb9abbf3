package org.skylarkfork.core.order;

import java.time.Duration;

/**
 * Timeouts and limits of orders.
 *
 * @param leaseDuration time for which the lease is valid after a renewal
 * @param renewalInterval time from a renewal to the next one
 * @param maxClockDrift largest relative difference of two clocks' rates, as a fraction
 * @param orderTimeout longest time that an order may take
 * @param resendInterval time after which an order with an unknown outcome is sent again
 * @param refusalBackoff time for which an engine that refused an order receives no load orders
 * @param unknownEngineTimeout time for which an engine must be unknown before its orders fail
 * @param unloadDelay time for which sessions may use a replaced version before it is unloaded
 * @param minEngines smallest number of engines that load a version, even for a small percentage of
 *     the traffic
 * @param maxOpenOrders largest number of open orders
 * @param budget rate limit for fetching weights
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

  /** The settings that daemons use by default. */
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
