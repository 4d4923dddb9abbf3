package org.skylarkfork.core.order;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupState;
import org.skylarkfork.core.command.OrderCommand;
import org.skylarkfork.core.command.OrderCommand.AcquireLease;
import org.skylarkfork.core.command.OrderResult.LeaseGranted;
import org.skylarkfork.core.command.OrderResult.LeaseHeld;
import org.skylarkfork.core.command.OrderResult.OverBudget;
import org.skylarkfork.core.command.OrderResult.StaleLease;
import org.skylarkfork.core.command.OrderState;
import org.skylarkfork.core.command.StateMachine;
import org.skylarkfork.core.order.OrderIntent.Status;

/** State machine of the lease for orders, the orders and the progress of roll-outs. */
public final class OrderMachine implements StateMachine {

  private static final int MAX_CONCLUDED_ORDERS = 500;
  private static final int MAX_OPEN_ORDERS = 500;

  private @Nullable OrderLease lease;
  private Instant budgetUsedUntil = Instant.EPOCH;
  private final Map<String, OrderIntent> intents = new LinkedHashMap<>();
  private final Map<String, RollOutProgress> progress = new TreeMap<>();

  @Override
  public CommandResult apply(long index, Instant stampedAt, Command command) {
    if (command instanceof AcquireLease acquire) {
      return acquire(acquire, stampedAt);
    }
    if (command instanceof OrderCommand.RequestOrder request) {
      return intend(request.order(), request.budget(), stampedAt);
    }
    if (command instanceof OrderCommand.RenewLease renew) {
      return withLease(renew.fencingNumber(), held -> renew(held, stampedAt));
    }
    if (command instanceof OrderCommand.ReleaseLease release) {
      return withLease(release.fencingNumber(), held -> release(held, release.isSafe()));
    }
    if (command instanceof OrderCommand.Intend intend) {
      return withLease(
          intend.fencingNumber(), held -> intend(intend.order(), intend.budget(), stampedAt));
    }
    if (command instanceof OrderCommand.Conclude conclude) {
      return withLease(conclude.fencingNumber(), held -> conclude(conclude, stampedAt));
    }
    if (command instanceof OrderCommand.RecordProgress record) {
      return withLease(record.fencingNumber(), held -> recordProgress(record.progress()));
    }
    return new CommandResult.Rejected("these machines take order commands only");
  }

  private CommandResult acquire(AcquireLease acquire, Instant stampedAt) {
    OrderLease old = lease;
    boolean isHeld = old != null && !old.isReleased() && stampedAt.isBefore(old.endsAt());
    if (isHeld && !old.holder().equals(acquire.holder())) {
      return new LeaseHeld(old.holder());
    }
    if (isHeld) {
      renew(old, stampedAt);
      return new LeaseGranted(old.fencingNumber(), old.unsafeMillis());
    }
    long number = old == null ? 1 : old.fencingNumber() + 1;
    Invariants.check(old == null || number > old.fencingNumber(), "fencing numbers only rise");
    long unsafeMillis = old == null ? 0 : unsafeAfter(old);
    lease =
        new OrderLease(
            acquire.holder(),
            number,
            acquire.durationMillis(),
            acquire.orderMillis(),
            stampedAt.plusMillis(acquire.durationMillis()),
            false,
            unsafeMillis);
    return new LeaseGranted(number, unsafeMillis);
  }

  // A holder that is partitioned or slow may consider a lease that was not released valid for its
  // whole duration after the last renewal, and an order sent at its end needs further time. Engines
  // that ignore fencing numbers would carry out such an order after a newer one. The next holder
  // waits for both times by its own clock, so no jump of a leader's clock shortens the wait. A
  // release counts as safe only if the holder itself had waited for the orders of earlier holders.
  private static long unsafeAfter(OrderLease old) {
    return old.isReleased()
        ? old.unsafeMillis()
        : Math.max(old.unsafeMillis(), old.durationMillis() + old.orderMillis());
  }

  private CommandResult renew(OrderLease held, Instant stampedAt) {
    lease =
        new OrderLease(
            held.holder(),
            held.fencingNumber(),
            held.durationMillis(),
            held.orderMillis(),
            stampedAt.plusMillis(held.durationMillis()),
            false,
            held.unsafeMillis());
    return new CommandResult.Done();
  }

  private CommandResult release(OrderLease held, boolean isSafe) {
    lease =
        new OrderLease(
            held.holder(),
            held.fencingNumber(),
            held.durationMillis(),
            held.orderMillis(),
            held.endsAt(),
            true,
            isSafe ? 0 : unsafeAfter(held));
    return new CommandResult.Done();
  }

  private CommandResult intend(Order order, WeightBudget budget, Instant stampedAt) {
    OrderIntent known = intents.get(order.orderId());
    if (known != null) {
      return known.order().equals(order)
          ? new CommandResult.Done()
          : new CommandResult.Rejected("the order's id was used for another one; take a new id");
    }
    if (openIntents().size() >= MAX_OPEN_ORDERS) {
      return new CommandResult.Rejected("too many orders are open; wait until some are concluded");
    }
    if (order.kind() == OrderKind.LOAD) {
      Duration wait = budget.waitFor(budgetUsedUntil, stampedAt);
      if (!wait.isZero()) {
        return new OverBudget(wait.toMillis());
      }
      budgetUsedUntil = budget.usedUntilAfter(budgetUsedUntil, stampedAt);
    }
    intents.put(order.orderId(), new OrderIntent(order, Status.OPEN, "", stampedAt));
    removeOldestConcluded();
    return new CommandResult.Done();
  }

  private void removeOldestConcluded() {
    long concluded = intents.size() - openIntents().size();
    var inOrder = intents.values().iterator();
    while (concluded > MAX_CONCLUDED_ORDERS && inOrder.hasNext()) {
      if (!inOrder.next().isOpen()) {
        inOrder.remove();
        concluded--;
      }
    }
  }

  private CommandResult conclude(OrderCommand.Conclude conclude, Instant stampedAt) {
    OrderIntent known = intents.get(conclude.orderId());
    if (known != null && known.isOpen()) {
      Status status = conclude.isDone() ? Status.DONE : Status.FAILED;
      intents.put(
          conclude.orderId(), new OrderIntent(known.order(), status, conclude.detail(), stampedAt));
    }
    return new CommandResult.Done();
  }

  private CommandResult recordProgress(RollOutProgress next) {
    progress.put(next.model(), next);
    return new CommandResult.Done();
  }

  private CommandResult withLease(long fencingNumber, LeaseOperation operation) {
    OrderLease held = lease;
    if (held == null || held.fencingNumber() != fencingNumber || held.isReleased()) {
      return new StaleLease(held == null ? 0 : held.fencingNumber());
    }
    return operation.perform(held);
  }

  private interface LeaseOperation {
    CommandResult perform(OrderLease held);
  }

  /** Returns the newest lease that this replica has applied, or empty if there was none. */
  public Optional<OrderLease> lease() {
    return Optional.ofNullable(lease);
  }

  /** Returns the open orders, oldest first. */
  public List<OrderIntent> openIntents() {
    return intents.values().stream().filter(OrderIntent::isOpen).toList();
  }

  /** Returns all recorded orders, oldest first. */
  public List<OrderIntent> intents() {
    return List.copyOf(intents.values());
  }

  /** Returns the progress of a model's newest recorded roll-out, which may be an earlier one. */
  public Optional<RollOutProgress> progress(String model) {
    return Optional.ofNullable(progress.get(model));
  }

  @Override
  public GroupState snapshot() {
    return new OrderState(lease, budgetUsedUntil, intents(), new ArrayList<>(progress.values()));
  }

  @Override
  public void restore(GroupState state) {
    OrderState known =
        state instanceof OrderState orders
            ? orders
            : new OrderState(null, Instant.EPOCH, List.of(), List.of());
    Invariants.check(
        lease == null
            || known.lease() == null
            || known.lease().fencingNumber() >= lease.fencingNumber(),
        "fencing numbers only rise");
    lease = known.lease();
    budgetUsedUntil = known.budgetUsedUntil();
    intents.clear();
    known.intents().forEach(intent -> intents.put(intent.order().orderId(), intent));
    progress.clear();
    known.progress().forEach(one -> progress.put(one.model(), one));
  }
}
