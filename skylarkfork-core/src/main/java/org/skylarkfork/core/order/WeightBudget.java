package org.skylarkfork.core.order;

import java.time.Duration;
import java.time.Instant;

/**
 * Rate limit for fetching weights from the weight store, shared by all holders of the lease.
 *
 * @param burst number of loads that may start at once, at least 1
 * @param millisPerLoad time after which one further load may start, in milliseconds
 */
public record WeightBudget(int burst, long millisPerLoad) {

  /** The default budget: two loads at once and six per minute. */
  public static final WeightBudget DEFAULT = new WeightBudget(2, 10_000);

  /**
   * Returns the time for which a load must wait, or zero if it may start.
   *
   * @param usedUntil time until which the granted loads use up the budget
   * @param now the present time
   */
  Duration waitFor(Instant usedUntil, Instant now) {
    Instant earliest = usedUntil.minusMillis((burst - 1) * millisPerLoad);
    return earliest.isAfter(now) ? Duration.between(now, earliest) : Duration.ZERO;
  }

  /** Returns the time until which the budget is used up after a further load. */
  Instant usedUntilAfter(Instant usedUntil, Instant now) {
    return (usedUntil.isAfter(now) ? usedUntil : now).plusMillis(millisPerLoad);
  }
}
