package org.skylarkfork.core.order;

import java.time.Duration;
import java.time.Instant;

/**
 * How fast engines may fetch weights from the weight store, over all holders of the lease.
 *
 * @param burst loads that may start at once, at least 1
 * @param millisPerLoad time in which the store gives one further load, in milliseconds
 */
public record WeightBudget(int burst, long millisPerLoad) {

  /** Two loads at once and six a minute. */
  public static final WeightBudget DEFAULT = new WeightBudget(2, 10_000);

  /**
   * Returns how long a load must wait.
   *
   * @param usedUntil until when the loads granted so far use the budget up
   * @param now the present time
   */
  Duration waitFor(Instant usedUntil, Instant now) {
    Instant earliest = usedUntil.minusMillis((burst - 1) * millisPerLoad);
    return earliest.isAfter(now) ? Duration.between(now, earliest) : Duration.ZERO;
  }

  /** Returns until when the budget is used up after a further load. */
  Instant usedUntilAfter(Instant usedUntil, Instant now) {
    return (usedUntil.isAfter(now) ? usedUntil : now).plusMillis(millisPerLoad);
  }
}
