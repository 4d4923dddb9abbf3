package org.skylarkfork.core.order;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.RollOut;
import org.skylarkfork.core.configuration.RollOut.State;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.order.OrderFixture.Holder;
import org.skylarkfork.core.order.OrderFixture.Sent;
import org.testng.annotations.Test;

/** Tests roll-outs under a lease that changes its holder. */
public class OrderPartTest {

  private static final Duration MINUTE = Duration.ofMinutes(1);
  private static final Duration UNLOAD_DELAY = OrderFixture.SETTINGS.unloadDelay();

  @Test
  public void rollOutIsPreparedOneStepAheadAndClearedAtItsEnd() {
    OrderFixture fixture = new OrderFixture();
    fixture.addEngines(6, true);
    Holder holder = fixture.start("a");
    fixture.run(MINUTE);
    assertEquals(fixture.loaded(OrderFixture.NEW), 3);
    assertTrue(holder.part.isPreparedForNextStep(fixture.rollOut));
    fixture.rollOut = OrderFixture.rollOut(State.RUNNING, 1);
    assertFalse(holder.part.isPreparedForNextStep(fixture.rollOut));
    fixture.run(MINUTE);
    assertEquals(fixture.loaded(OrderFixture.NEW), 6);
    assertTrue(holder.part.isPreparedForNextStep(fixture.rollOut));
    fixture.rollOut = OrderFixture.rollOut(State.FINISHED, 3);
    fixture.run(UNLOAD_DELAY.minus(MINUTE));
    assertEquals(fixture.loaded(OrderFixture.OLD), 6);
    fixture.run(MINUTE.multipliedBy(2));
    assertEquals(fixture.loaded(OrderFixture.OLD), 0);
    fixture.run(MINUTE);
    assertTrue(fixture.machine.lease().orElseThrow().isReleased());
    assertTrue(fixture.machine.openIntents().isEmpty());
  }

  // Guards against roll-outs that stop or load twice after the loss of a holder. The holder is lost
  // after each number of ticks, also between the record of an order and its sending and between
  // sending and outcome; the next holder continues. No engine loads twice, and the limit of the
  // weight store is respected.
  @Test
  public void nextHolderContinuesRollOutInterruptedAtAnyPoint() {
    for (int ticks = 1; ticks < 120; ticks++) {
      OrderFixture fixture = new OrderFixture();
      fixture.addEngines(3, true);
      fixture.addEngines(3, false);
      fixture.start("a");
      fixture.delayOrders = ticks % 2 == 0;
      fixture.run(Duration.ofMillis(100L * ticks));
      fixture.holders.clear();
      fixture.start("b");
      if (ticks % 4 != 0) {
        fixture.delayedOrders.clear();
      }
      fixture.delayOrders = false;
      fixture.run(MINUTE.multipliedBy(2));
      assertEquals(fixture.loaded(OrderFixture.NEW), 3, "interrupted after " + ticks);
      assertEquals(fixture.machine.progress("ruling").orElseThrow().preparedSteps(), 2);
      Set<String> orderIds = new HashSet<>();
      fixture.received.forEach(one -> orderIds.add(one.order().orderId()));
      assertEquals(orderIds.size(), 3, "interrupted after " + ticks);
    }
  }

  // Guards against an old order that undoes a newer one. Holder "a" is partitioned without
  // connection errors while its orders are in flight; "b" acquires the lease, and then the old
  // orders arrive. An engine that checks fencing numbers refuses the old order after it received a
  // newer number. An engine that doesn't receives no order of "b" until then.
  @Test
  public void lateOrderOfOldHolderUndoesNoNewerOrder() {
    OrderFixture fixture = new OrderFixture();
    fixture.addEngines(1, true);
    fixture.addEngines(1, false);
    fixture.delayOrders = true;
    final Holder old = fixture.start("a");
    fixture.run(Duration.ofSeconds(2));
    assertEquals(fixture.delayedOrders.size(), 2);
    final List<Runnable> lateOrders = new ArrayList<>(fixture.delayedOrders);
    fixture.delayedOrders.clear();
    old.isPartitioned = true;
    fixture.delayOrders = false;
    fixture.start("b");
    fixture.run(Duration.ofSeconds(25));
    assertEquals(
        fixture.received.stream().map(one -> one.order().upstream()).toList(), List.of("engine-1"));
    lateOrders.forEach(Runnable::run);
    assertFalse(fixture.received.get(1).isCarriedOut());
    assertTrue(fixture.received.get(2).isCarriedOut());
    assertEquals(fixture.received.get(2).holder(), "a");
    fixture.run(MINUTE);
    assertEquals(fixture.loaded(OrderFixture.NEW), 2);
  }

  // Guards against two holders that send orders at the same time to an engine that ignores fencing
  // numbers. "a" is partitioned and does not detect it. The clock of "a" is set back, or the clock
  // of "b" or of the group's leader jumps an hour ahead, so that the lease appears longer to "a" or
  // shorter to "b".
  @Test
  public void clockJumpsNeverLetTwoHoldersSendOrders() {
    for (int jump = 0; jump < 4; jump++) {
      OrderFixture fixture = new OrderFixture();
      fixture.addEngines(6, false);
      fixture.delayOrders = true;
      final Holder first = fixture.start("a");
      fixture.run(Duration.ofSeconds(5));
      first.isPartitioned = true;
      final Holder second = fixture.start("b");
      fixture.run(Duration.ofSeconds(1));
      if (jump == 1) {
        first.clockOffset = Duration.ofHours(-1);
      } else if (jump == 2) {
        fixture.leaderClockOffset = Duration.ofHours(1);
      }
      fixture.run(Duration.ofSeconds(12));
      if (jump == 3) {
        second.clockOffset = Duration.ofHours(1);
      }
      fixture.run(MINUTE.multipliedBy(3));
      assertEquals(fixture.sent.get(fixture.sent.size() - 1).holder(), "b", "jump " + jump);
      Duration lastOfFirst = Duration.ZERO;
      for (Sent one : fixture.sent) {
        if (one.holder().equals("a")) {
          lastOfFirst = one.at();
        } else {
          Duration gap = one.at().minus(lastOfFirst);
          assertTrue(gap.compareTo(OrderFixture.SETTINGS.orderTimeout()) > 0, "jump " + jump);
        }
      }
    }
  }

  // Guards against the unloading of a replaced version that is the only one allowed to some team;
  // all requests of that team would be refused.
  @Test
  public void onlyAllowedVersionOfTeamStaysLoaded() {
    OrderFixture fixture = new OrderFixture();
    fixture.addEngines(2, true);
    fixture.teams =
        List.of(
            new Team(
                "club",
                List.of(),
                List.of(new Team.AllowedModel("ruling", List.of("1"))),
                List.of(),
                Limits.NONE,
                1));
    fixture.rollOut = OrderFixture.rollOut(State.FINISHED, 3);
    fixture.start("a");
    fixture.run(UNLOAD_DELAY.plus(MINUTE));
    assertEquals(fixture.loaded(OrderFixture.OLD), 2);
  }

  @Test
  public void abortedRollOutUnloadsTheNewVersion() {
    OrderFixture fixture = new OrderFixture();
    fixture.addEngines(4, true);
    fixture.start("a");
    fixture.run(MINUTE);
    assertTrue(fixture.loaded(OrderFixture.NEW) > 0);
    fixture.rollOut = OrderFixture.rollOut(RollOut.State.ABORTED, 0);
    fixture.run(UNLOAD_DELAY.plus(MINUTE));
    assertEquals(fixture.loaded(OrderFixture.NEW), 0);
    assertEquals(fixture.loaded(OrderFixture.OLD), 4);
  }
}
