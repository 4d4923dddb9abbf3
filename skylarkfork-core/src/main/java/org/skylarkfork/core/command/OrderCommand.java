package org.skylarkfork.core.command;

import org.skylarkfork.core.order.Order;
import org.skylarkfork.core.order.RollOutProgress;
import org.skylarkfork.core.order.WeightBudget;

/** Commands on the lease for orders, the orders themselves and the progress of roll-outs. */
public sealed interface OrderCommand extends Command {

  /**
   * Requests the lease; the current holder receives the same number again.
   *
   * @param holder node name and incarnation of the requesting process
   * @param durationMillis how long the lease is valid, in milliseconds
   * @param orderMillis how long an order sent under it may take, in milliseconds
   */
  record AcquireLease(String holder, long durationMillis, long orderMillis)
      implements OrderCommand {}

  /**
   * Renews the lease.
   *
   * @param fencingNumber number of the lease
   */
  record RenewLease(long fencingNumber) implements OrderCommand {}

  /**
   * Releases the lease.
   *
   * @param fencingNumber number of the lease
   * @param isSafe whether no order of this or an earlier holder can still be in transit
   */
  record ReleaseLease(long fencingNumber, boolean isSafe) implements OrderCommand {}

  /**
   * Records an order before it is sent.
   *
   * @param fencingNumber number of the lease
   * @param order the order
   * @param budget rate limit for fetching weights
   */
  record Intend(long fencingNumber, Order order, WeightBudget budget) implements OrderCommand {}

  /**
   * Records an order requested by an operator; the holder of the lease sends it.
   *
   * @param order the order; a resend has the same id
   * @param budget rate limit for fetching weights
   */
  record RequestOrder(Order order, WeightBudget budget) implements OrderCommand {}

  /**
   * Records the outcome of an order.
   *
   * @param fencingNumber number of the lease
   * @param orderId id of the order
   * @param isDone whether the order was executed; if not, it never will be
   * @param detail evidence of the outcome
   */
  record Conclude(long fencingNumber, String orderId, boolean isDone, String detail)
      implements OrderCommand {}

  /**
   * Records how far the preparation of a roll-out has progressed.
   *
   * @param fencingNumber number of the lease
   * @param progress the progress
   */
  record RecordProgress(long fencingNumber, RollOutProgress progress) implements OrderCommand {}
}
