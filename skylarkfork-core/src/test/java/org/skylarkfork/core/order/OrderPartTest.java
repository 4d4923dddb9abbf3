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

/** Roll-outs under a lease that changes hands. */
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

  // Operators find the roll-out prepared whoever was interrupted when. The holder is lost after
  // each count of looks, also between the record of an order and its sending and between sending
  // and outcome; the next one goes on. No engine loads twice and the weight store's limit holds.
  @Test
  public void rollOutInterruptedAtEachPointIsTakenUpByTheNextHolder() {
    for (int looks = 1; looks < 120; looks++) {
      OrderFixture fixture = new OrderFixture();
      fixture.addEngines(3, true);
      fixture.addEngines(3, false);
      fixture.start("a");
      fixture.holdOrders = looks % 2 == 0;
      fixture.run(Duration.ofMillis(100L * looks));
      fixture.holders.clear();
      fixture.start("b");
      if (looks % 4 != 0) {
        fixture.held.clear();
      }
      fixture.holdOrders = false;
      fixture.run(MINUTE.multipliedBy(2));
      assertEquals(fixture.loaded(OrderFixture.NEW), 3, "interrupted after " + looks);
      assertEquals(fixture.machine.progress("ruling").orElseThrow().preparedSteps(), 2);
      Set<String> orderIds = new HashSet<>();
      fixture.received.forEach(one -> orderIds.add(one.order().orderId()));
      assertEquals(orderIds.size(), 3, "interrupted after " + looks);
    }
  }

  // An old order must not undo a newer one. Holder "a" is cut off in silence with an order on its
  // way; "b" takes over and the old order arrives. An engine that checks fencing numbers refuses
  // it once it knows the newer one. An engine that doesn't gets no order of "b" until then.
  @Test
  public void lateOrderOfOldHolderHarmsNeitherKindOfEngine() {
    OrderFixture fixture = new OrderFixture();
    fixture.addEngines(1, true);
    fixture.addEngines(1, false);
    fixture.holdOrders = true;
    final Holder old = fixture.start("a");
    fixture.run(Duration.ofSeconds(2));
    assertEquals(fixture.held.size(), 2);
    final List<Runnable> late = new ArrayList<>(fixture.held);
    fixture.held.clear();
    old.isCutOff = true;
    fixture.holdOrders = false;
    fixture.start("b");
    fixture.run(Duration.ofSeconds(25));
    assertEquals(
        fixture.received.stream().map(one -> one.order().upstream()).toList(), List.of("engine-1"));
    late.forEach(Runnable::run);
    assertFalse(fixture.received.get(1).isCarriedOut());
    assertTrue(fixture.received.get(2).isCarriedOut());
    assertEquals(fixture.received.get(2).holder(), "a");
    fixture.run(MINUTE);
    assertEquals(fixture.loaded(OrderFixture.NEW), 2);
  }

  // Two holders must never order an engine that ignores fencing numbers in the same span of time.
  // "a" is cut off and does not know it; its clock is set back, or that of "b" or of the group's
  // leader jumps an hour ahead, so that the lease seems longer to "a" or shorter to "b".
  @Test
  public void clockJumpsLetNoTwoHoldersOrderAtOnce() {
    for (int jump = 0; jump < 4; jump++) {
      OrderFixture fixture = new OrderFixture();
      fixture.addEngines(6, false);
      fixture.holdOrders = true;
      final Holder first = fixture.start("a");
      fixture.run(Duration.ofSeconds(5));
      first.isCutOff = true;
      final Holder second = fixture.start("b");
      fixture.run(Duration.ofSeconds(1));
      if (jump == 1) {
        first.clockOffset = Duration.ofHours(-1);
      } else if (jump == 2) {
        fixture.leaderJump = Duration.ofHours(1);
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

  // A team that may use the replaced version only keeps it; unloading it would refuse its work.
  @Test
  public void versionThatSomeTeamStillNeedsStaysLoaded() {
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
