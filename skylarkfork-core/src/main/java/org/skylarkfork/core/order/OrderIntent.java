package org.skylarkfork.core.order;

import java.time.Instant;

/**
 * An order as the group remembers it.
 *
 * @param order the order
 * @param status what is known of it
 * @param detail what showed that, or empty
 * @param changedAt when the status was recorded
 */
public record OrderIntent(Order order, Status status, String detail, Instant changedAt) {

  /** What is known of an order. */
  public enum Status {
    /** It may be carried out at any time, or not at all; the holder of the lease sees to it. */
    OPEN,
    /** It is carried out. */
    DONE,
    /** It was not carried out and won't be sent again. */
    FAILED
  }

  /** Returns whether it still has to be seen to. */
  public boolean isOpen() {
    return status == Status.OPEN;
  }
}
