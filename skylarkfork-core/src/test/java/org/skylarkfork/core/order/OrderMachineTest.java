package org.skylarkfork.core.order;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.CompositeMachine;
import org.skylarkfork.core.command.GroupState;
import org.skylarkfork.core.command.LedgerCommand;
import org.skylarkfork.core.command.OrderCommand;
import org.skylarkfork.core.command.OrderResult.LeaseGranted;
import org.skylarkfork.core.command.OrderResult.LeaseHeld;
import org.skylarkfork.core.command.OrderResult.OverBudget;
import org.skylarkfork.core.command.OrderResult.StaleLease;
import org.skylarkfork.core.ledger.LedgerBounds;
import org.skylarkfork.core.ledger.LedgerMachine;
import org.testng.annotations.Test;

/** Tests the replicated lease, orders and budget, with another state machine in the same group. */
public class OrderMachineTest {

  private final OrderMachine orders = new OrderMachine();
  private CompositeMachine group = composite(orders);
  private Instant now = Instant.parse("2026-12-02T08:00:00Z");

  private static CompositeMachine composite(OrderMachine orders) {
    return new CompositeMachine(
        List.of(
            new CompositeMachine.Route(
                LedgerCommand.class, new LedgerMachine(LedgerBounds.DEFAULT)),
            new CompositeMachine.Route(OrderCommand.class, orders)));
  }

  private CommandResult apply(Command command) {
    return group.apply(1, now, command);
  }

  private CommandResult acquire(String holder) {
    return apply(new OrderCommand.AcquireLease(holder, 10_000, 30_000));
  }

  private CommandResult load(long fencingNumber, String orderId) {
    Order order = new Order(orderId, OrderKind.LOAD, "engine-1", OrderFixture.NEW, "");
    return apply(new OrderCommand.Intend(fencingNumber, order, new WeightBudget(2, 10_000)));
  }

  // Guards against two daemons that send orders at the same time. Fencing numbers increase with
  // each holder, commands with an old number change nothing, and a holder that releases the lease
  // before it has waited for its predecessor passes that wait on to the next holder. A restart from
  // a snapshot preserves this state.
  @Test
  public void fencingNumbersIncreaseAndNextHolderInheritsWait() {
    assertEquals(acquire("a"), new LeaseGranted(1, 0));
    assertEquals(acquire("a"), new LeaseGranted(1, 0));
    assertEquals(acquire("b"), new LeaseHeld("a"));
    now = now.plusSeconds(11);
    assertEquals(acquire("b"), new LeaseGranted(2, 40_000));
    assertEquals(load(1, "late"), new StaleLease(2));
    apply(new OrderCommand.ReleaseLease(2, false));
    GroupState state = group.snapshot();
    group = composite(new OrderMachine());
    group.restore(state);
    assertEquals(group.snapshot(), state);
    assertEquals(acquire("c"), new LeaseGranted(3, 40_000));
    apply(new OrderCommand.ReleaseLease(3, true));
    assertEquals(acquire("a"), new LeaseGranted(4, 0));
    assertEquals(apply(new OrderCommand.RenewLease(3)), new StaleLease(4));
  }

  // Guards against loads that exceed the rate limit of the weight store when the lease changes its
  // holder between two loads. A repeated command for the same order uses no budget.
  @Test
  public void budgetIsSharedByAllHolders() {
    OrderMachineTest test = new OrderMachineTest();
    test.acquire("a");
    assertEquals(test.load(1, "l1"), new CommandResult.Done());
    assertEquals(test.load(1, "l2"), new CommandResult.Done());
    assertEquals(test.load(1, "l2"), new CommandResult.Done());
    test.now = test.now.plus(Duration.ofSeconds(4));
    test.apply(new OrderCommand.ReleaseLease(1, true));
    test.acquire("b");
    assertEquals(test.load(2, "l3"), new OverBudget(6_000));
    test.now = test.now.plus(Duration.ofSeconds(6));
    assertEquals(test.load(2, "l3"), new CommandResult.Done());
    assertTrue(test.load(2, "l4") instanceof OverBudget);
    assertEquals(test.orders.openIntents().size(), 3);
    test.apply(new OrderCommand.Conclude(2, "l1", true, "announced"));
    assertEquals(test.orders.openIntents().size(), 2);
  }
}
