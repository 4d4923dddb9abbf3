package org.skylarkfork.core.order;

import java.time.Instant;

/**
 * An order as the group records it.
 *
 * @param order the order
 * @param status status of the order
 * @param detail what the status is based on, or empty
 * @param changedAt leader's time at which the status was recorded
 */
public record OrderIntent(Order order, Status status, String detail, Instant changedAt) {

  /** Status of an order. */
  public enum Status {
    /** The outcome is unknown; the holder of the lease sends the order until it is concluded. */
    OPEN,
    /** The order was carried out. */
    DONE,
    /** The order failed and will not be sent again. */
    FAILED
  }

  /** Returns whether the order is not concluded yet. */
  public boolean isOpen() {
    return status == Status.OPEN;
  }
}
