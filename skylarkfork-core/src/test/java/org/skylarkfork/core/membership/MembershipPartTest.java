package org.skylarkfork.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.MembershipEvent;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how daemons discover each other and detect failures. */
public final class MembershipPartTest {

  @Test
  public void daemonsDiscoverEachOtherThroughSeeds() {
    TestNetwork network = new TestNetwork(1).withEntries(9);
    for (TestDaemon daemon : network.daemons) {
      assertEquals(daemon.liveNames().size(), 9);
      assertEquals(daemon.listed(network.now).size(), 9);
      assertEquals(daemon.membership.liveIn("amersfoort").size(), 3);
    }
  }

  /**
   * Guards against lists with an unreachable VM: a VM is isolated without an error at either end,
   * and each other daemon must consider it dead within seconds. The VM itself must not consider the
   * others dead as fast, and after the isolation all must be live again without a restart.
   */
  @Test
  public void isolatedVmIsRemovedAndRejoins() {
    TestNetwork network = new TestNetwork(2).withEntries(9);
    TestDaemon isolated = network.daemons.get(4);
    network.isolate(isolated.self.host(), true);
    network.run(Duration.ofSeconds(8));
    for (TestDaemon daemon : network.daemons) {
      if (daemon != isolated) {
        assertFalse(daemon.liveNames().contains("entry-5"), daemon.self.name());
        assertEquals(daemon.liveNames().size(), 8);
      }
    }
    network.run(Duration.ofSeconds(15));
    assertEquals(isolated.deathsSeen(), 0);
    network.run(Duration.ofSeconds(90));
    network.isolate(isolated.self.host(), false);
    network.run(Duration.ofSeconds(30));
    for (TestDaemon daemon : network.daemons) {
      assertEquals(daemon.liveNames().size(), 9, daemon.self.name());
    }
  }

  /**
   * Guards against the removal of a slow VM: for lack of processor time its answers take 700 ms,
   * and it stalls for up to 2 s. It must be suspected, refute the suspicion and stay live.
   */
  @Test
  public void slowVmIsSuspectedButNotDead() {
    TestNetwork network = new TestNetwork(3).withEntries(9);
    TestDaemon slow = network.daemons.get(3);
    slow.sendDelay = Duration.ofMillis(700);
    for (int i = 0; i < 20; i++) {
      slow.stalledUntil = network.now.plusMillis(500 + network.random.nextInt(1500));
      network.run(Duration.ofSeconds(4));
    }
    boolean suspected =
        network.daemons.stream()
            .flatMap(daemon -> daemon.raised.stream())
            .anyMatch(event -> event instanceof MembershipEvent.MemberSuspected);
    assertTrue(suspected);
    for (TestDaemon daemon : network.daemons) {
      assertEquals(daemon.deathsSeen(), 0, daemon.self.name());
    }
  }

  /**
   * Guards against callers sent to a replaced process: a process restarts before its failure is
   * detected, once even with its clock set back; then its name moves to another VM while the old
   * process is isolated and returns later. All must use the newest process, and the replaced one
   * must have no effect.
   */
  @Test
  public void newestProcessReplacesEarlierOnes() {
    TestNetwork network = new TestNetwork(4).withEntries(5);
    network.kill(network.daemons.get(2));
    network.start(3, 10);
    network.run(Duration.ofSeconds(5));
    TestDaemon first = network.daemons.get(0);
    assertEquals(first.membership.find("entry-3").orElseThrow().incarnation(), 10);
    assertEquals(first.deathsSeen(), 0);
    network.kill(network.daemons.get(4));
    network.start(3, 4);
    network.run(Duration.ofSeconds(20));
    assertTrue(first.membership.find("entry-3").orElseThrow().incarnation() > 10);
    TestDaemon replaced = network.daemons.get(4);
    network.isolate(replaced.self.host(), true);
    network.start("entry-3", "127.0.0.33", 3, 20);
    network.run(Duration.ofSeconds(20));
    network.isolate(replaced.self.host(), false);
    network.run(Duration.ofSeconds(60));
    for (TestDaemon daemon : network.daemons) {
      if (daemon != replaced) {
        assertEquals(daemon.membership.find("entry-3").orElseThrow().host(), "127.0.0.33");
        assertEquals(daemon.liveNames().size(), 5);
      }
    }
    assertTrue(
        network.daemons.stream()
            .flatMap(daemon -> daemon.warnings.stream())
            .anyMatch(line -> line.contains("stop the older one")));
  }

  /**
   * Guards against refused callers on a planned stop: no new list may name the stopping entry, but
   * it must serve callers until the last list that named it has expired. After its end the others
   * must not report it as dead.
   */
  @Test
  public void plannedStopRemovesEntryFromListFirst() {
    TestNetwork network = new TestNetwork(5).withEntries(9);
    TestDaemon leaving = network.daemons.get(7);
    network.apply(leaving, new LifecycleEvent.StopRequested());
    assertFalse(leaving.listed(network.now).contains("entry-8"));
    network.run(Duration.ofSeconds(2));
    for (TestDaemon daemon : network.daemons) {
      assertFalse(daemon.listed(network.now).contains("entry-8"));
      assertTrue(daemon.liveNames().contains("entry-8"));
    }
    assertTrue(leaving.entries.acceptsNewWork(network.now));
    network.run(Duration.ofSeconds(12));
    assertTrue(leaving.entries.acceptsNewWork(network.now));
    network.run(Duration.ofSeconds(2));
    assertFalse(leaving.entries.acceptsNewWork(network.now));
    network.apply(leaving, new LifecycleEvent.Ending());
    network.kill(leaving);
    network.run(Duration.ofSeconds(30));
    for (TestDaemon daemon : network.daemons) {
      assertEquals(daemon.liveNames().size(), 8);
      assertEquals(daemon.deathsSeen(), 0);
    }
  }

  @Test
  public void drainedAndLeaselessEntriesAreNotListed() {
    TestNetwork network = new TestNetwork(6).withEntries(4);
    TestDaemon leaseless = network.daemons.get(2);
    leaseless.configuration.lease(false);
    final TestDaemon drained = network.daemons.get(3);
    for (TestDaemon daemon : network.daemons) {
      daemon.configuration.set(List.of(), List.of("entry-4"), List.of());
    }
    network.run(Duration.ofSeconds(3));
    for (TestDaemon daemon : network.daemons) {
      assertEquals(daemon.listed(network.now), List.of("entry-1", "entry-2"));
    }
    assertFalse(leaseless.entries.acceptsNewWork(network.now));
    assertTrue(drained.entries.acceptsNewWork(network.now));
    network.run(Duration.ofSeconds(20));
    assertFalse(drained.entries.acceptsNewWork(network.now));
    drained.configuration.set(List.of(), List.of(), List.of());
    network.run(Duration.ofSeconds(1));
    assertTrue(drained.entries.acceptsNewWork(network.now));
  }

  /** Returns rates of message loss. */
  @DataProvider
  public Object[][] losses() {
    return new Object[][] {{0.01}, {0.05}, {0.10}};
  }

  @Test(dataProvider = "losses")
  public void messageLossCausesNoDeaths(double loss) {
    TestNetwork network = new TestNetwork(7).withEntries(9);
    network.loss = loss;
    network.run(Duration.ofMinutes(10));
    for (TestDaemon daemon : network.daemons) {
      assertEquals(daemon.deathsSeen(), 0);
    }
  }

  /**
   * Guards against member tables that don't converge: daemons are killed, restarted, isolated and
   * stalled at random while messages are lost. Afterwards all must agree on the live members.
   */
  @Test
  public void convergesAfterRandomFailures() {
    for (int seed = 100; seed < 110; seed++) {
      TestNetwork network = new TestNetwork(seed).withEntries(7);
      network.loss = 0.05;
      for (int step = 1; step <= 15; step++) {
        int number = 1 + network.random.nextInt(7);
        injectFault(network, number, 1 + step);
        network.run(Duration.ofMillis(500 + network.random.nextInt(9000)));
      }
      network.loss = 0;
      for (int i = 1; i <= 7; i++) {
        network.isolate("127.0.0." + i, false);
      }
      network.run(Duration.ofSeconds(90));
      for (TestDaemon daemon : network.daemons) {
        assertEquals(daemon.liveNames().size(), 7, "seed " + seed + " " + daemon.self.name());
        for (Member member : daemon.membership.live()) {
          TestDaemon subject =
              network.daemons.stream()
                  .filter(other -> other.self.name().equals(member.name()))
                  .findFirst()
                  .orElseThrow();
          assertEquals(member, subject.membership.self(), "seed " + seed);
        }
      }
    }
  }

  private static void injectFault(TestNetwork network, int number, long incarnation) {
    TestDaemon daemon =
        network.daemons.stream()
            .filter(other -> other.self.name().equals("entry-" + number))
            .findFirst()
            .orElseThrow();
    switch (network.random.nextInt(4)) {
      case 0 -> {
        network.kill(daemon);
        network.start(number, incarnation);
      }
      case 1 -> network.isolate(daemon.self.host(), true);
      case 2 -> network.isolate(daemon.self.host(), false);
      default -> daemon.stalledUntil = network.now.plusMillis(network.random.nextInt(5000));
    }
  }
}
