package org.skylarkfork.core.command;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.order.OrderIntent;
import org.skylarkfork.core.order.OrderLease;
import org.skylarkfork.core.order.RollOutProgress;

/**
 * The state of leases, orders and roll-outs.
 *
 * @param lease newest lease, or null if there was none
 * @param budgetUsedUntil time until which the weight store's budget is used up
 * @param intents the orders in the sequence in which they were recorded
 * @param progress the roll-outs' progress, by model
 */
public record OrderState(
    @Nullable OrderLease lease,
    Instant budgetUsedUntil,
    List<OrderIntent> intents,
    List<RollOutProgress> progress)
    implements GroupState {

  /** Copies the lists. */
  public OrderState {
    intents = List.copyOf(intents);
    progress = List.copyOf(progress);
  }
}
