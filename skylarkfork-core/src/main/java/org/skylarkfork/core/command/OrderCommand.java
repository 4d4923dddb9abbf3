package org.skylarkfork.core.command;

import org.skylarkfork.core.order.Order;
import org.skylarkfork.core.order.RollOutProgress;
import org.skylarkfork.core.order.WeightBudget;

/** Changes to the lease for orders, to the orders themselves and to the progress of roll-outs. */
public sealed interface OrderCommand extends Command {

  /**
   * Asks for the lease; a holder that has it gets the same number again.
   *
   * @param holder node name and run of the process that asks
   * @param durationMillis how long the lease is valid, in milliseconds
   * @param orderMillis how long an order sent under it may take, in milliseconds
   */
  record AcquireLease(String holder, long durationMillis, long orderMillis)
      implements OrderCommand {}

  /**
   * Prolongs the lease.
   *
   * @param fencingNumber number of the lease
   */
  record RenewLease(long fencingNumber) implements OrderCommand {}

  /**
   * Gives the lease back.
   *
   * @param fencingNumber number of the lease
   * @param isSafe whether no order of this or an earlier holder can still be on its way
   */
  record ReleaseLease(long fencingNumber, boolean isSafe) implements OrderCommand {}

  /**
   * Records an order before it is sent.
   *
   * @param fencingNumber number of the lease
   * @param order the order
   * @param budget how fast weights may be fetched
   */
  record Intend(long fencingNumber, Order order, WeightBudget budget) implements OrderCommand {}

  /**
   * Records an order that an operator asks for; the holder of the lease sends it.
   *
   * @param order the order; a resend has the same id
   * @param budget how fast weights may be fetched
   */
  record RequestOrder(Order order, WeightBudget budget) implements OrderCommand {}

  /**
   * Records what came of an order.
   *
   * @param fencingNumber number of the lease
   * @param orderId id of the order
   * @param isDone whether it is carried out; if not, it never will be
   * @param detail what showed it
   */
  record Conclude(long fencingNumber, String orderId, boolean isDone, String detail)
      implements OrderCommand {}

  /**
   * Records how far a roll-out is prepared.
   *
   * @param fencingNumber number of the lease
   * @param progress the progress
   */
  record RecordProgress(long fencingNumber, RollOutProgress progress) implements OrderCommand {}
}
