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

/** Tests how daemons find, watch and lose each other. */
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
   * A VM is cut off without any error to either side. Callers with a fresh list must not be sent
   * there, so each other daemon finds it dead within seconds; the VM itself must not take the
   * others for dead as fast, and once the cut ends all are there again without a restart.
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
   * A VM answers late, for want of processor time: its answers take 700 ms, and it stands still for
   * up to 2 s. It is suspected, hears of it and refutes; callers keep it.
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
   * A process restarts before anybody missed it, once even with its clock set back, then its name
   * moves to another VM while the old process is cut off and comes back later. Callers must be sent
   * to the newest process, and the replaced one may do no harm.
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
   * An entry is asked to stop. Callers with a list that names it must be served until that list has
   * expired; no list names it after a moment. Then it ends and the others do not look for it.
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

  /** Gives rates of lost messages. */
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
   * Callers must end up with the right list whatever happened: daemons are killed, restarted, cut
   * and slowed at random while messages get lost; once that ends, all agree on who is there.
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
