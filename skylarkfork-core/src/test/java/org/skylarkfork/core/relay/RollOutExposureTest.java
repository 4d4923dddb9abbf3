package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.relay.RollOutSimulation.Behaviour;
import org.skylarkfork.core.rollout.RollOutPhase;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of how many requests a version gets before it has proved good, in virtual time. */
public final class RollOutExposureTest {

  /** Share of all requests from the order to the deadline that a bad version may get. */
  private static final double MAX_EXPOSED_SHARE = 0.0975;

  /** Number of further requests that a bad version may get. */
  private static final int MAX_EXPOSED_MORE = 30;

  /** Number of requests that may change their session's version against the rules. */
  private static final int MAX_WRONG_CHANGES = 3;

  private static final int SEEDS = 4;

  /** Returns loads in requests a second with deadlines in milliseconds. */
  @DataProvider
  public Object[][] rollOuts() {
    return new Object[][] {
      {40, 12_000L}, {40, 15_000L}, {40, 32_000L}, {500, 12_000L}, {500, 15_000L}, {500, 32_000L}
    };
  }

  private static RollOutSimulation start(long seed, int load) {
    RollOutSimulation simulation = new RollOutSimulation(seed);
    simulation.setLoad(load);
    simulation.useSessions(load);
    simulation.runFor(Duration.ofSeconds(5));
    return simulation;
  }

  private static void assertExposure(
      RollOutSimulation simulation, Behaviour bad, long deadlineMillis, String run) {
    final Instant deadline = simulation.run.network.now().plusMillis(deadlineMillis);
    simulation.order("v2", bad, deadlineMillis);
    simulation.runUntil(
        Duration.ofSeconds(60), () -> !simulation.run.network.now().isBefore(deadline));
    long exposed = simulation.requests("v2");
    double allowed = MAX_EXPOSED_SHARE * simulation.allRequests() + MAX_EXPOSED_MORE;
    assertTrue(exposed > 0, run + ": never tried");
    assertTrue(exposed <= allowed, run + ": " + exposed + " of " + allowed + " requests");
    assertEquals(simulation.rollOut().phase(), RollOutPhase.ROLLED_BACK, run);
  }

  /** A slow version doesn't get more requests than allowed when all of them have sessions. */
  @Test(dataProvider = "rollOuts")
  public void slowVersionIsTriedByFewSessions(int load, long deadlineMillis) {
    List<Behaviour> bad =
        List.of(
            RollOutSimulation.slow(),
            RollOutSimulation.slower(RollOutSimulation.good(), 8),
            RollOutSimulation.slower(RollOutSimulation.good(), 100),
            RollOutSimulation.failing());
    for (long seed = 1; seed <= SEEDS; seed++) {
      for (int kind = 0; kind < bad.size(); kind++) {
        String run = load + "/s " + deadlineMillis + " ms, seed " + seed + ", kind " + kind;
        assertExposure(start(seed, load), bad.get(kind), deadlineMillis, run);
      }
    }
  }

  /** A slow version of a service that takes a second to answer doesn't get more than allowed. */
  @Test
  public void slowVersionOfSlowServiceIsTriedByFewSessions() {
    Behaviour old = RollOutSimulation.slower(RollOutSimulation.good(), 10);
    for (int load : new int[] {40, 500}) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        RollOutSimulation simulation = start(seed, load);
        simulation.setBehaviour("v1", old);
        Behaviour slow = RollOutSimulation.slower(RollOutSimulation.slow(), 10);
        assertExposure(simulation, slow, 16_000, load + "/s, seed " + seed);
      }
    }
  }

  /** A good version isn't held back beyond its deadline by what a bad one is bounded by. */
  @Test(dataProvider = "rollOuts")
  public void goodVersionSucceedsByItsDeadline(int load, long deadlineMillis) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      String run = load + "/s " + deadlineMillis + " ms, seed " + seed;
      RollOutSimulation simulation = start(seed, load);
      Instant order = simulation.run.network.now();
      simulation.order("v2", RollOutSimulation.good(), deadlineMillis);
      simulation.runUntil(
          Duration.ofSeconds(60),
          () -> !simulation.run.network.now().isBefore(order.plusMillis(deadlineMillis / 2)));
      assertTrue(simulation.requests("v2") <= MAX_WRONG_CHANGES, run + ": moved in the first half");
      simulation.runUntil(
          Duration.ofSeconds(60),
          () ->
              simulation.isDecided()
                  || simulation.run.network.now().isAfter(order.plusMillis(deadlineMillis)));
      assertEquals(simulation.rollOut().phase(), RollOutPhase.SUCCEEDED, run);
      assertEquals(simulation.unanswered("v1"), 0, run + ": not drained");
      assertTrue(simulation.changesTo("v1") <= MAX_WRONG_CHANGES, run + ": moved back");
    }
  }

  /** A new leader neither skips the trial of a slow version nor sends its sessions back. */
  @Test
  public void trialGoesOnUnderNewLeader() {
    for (long seed = 1; seed <= 12; seed++) {
      boolean isBad = seed % 2 == 0;
      RollOutSimulation simulation = start(seed, 140);
      Behaviour behaviour = isBad ? RollOutSimulation.slow() : RollOutSimulation.good();
      final Instant deadline = simulation.run.network.now().plusMillis(20_000);
      simulation.order("v2", behaviour, 20_000);
      assertTrue(simulation.runUntil(Duration.ofSeconds(20), simulation::isOnTrial));
      String leader = simulation.newestLeader();
      switch ((int) (seed % 3)) {
        case 0 -> simulation.run.network.crash(leader);
        case 1 -> simulation.run.network.suspend(leader);
        default -> simulation.run.network.isolate(leader);
      }
      assertTrue(simulation.runUntil(Duration.ofSeconds(20), simulation::isDecided));
      RollOutPhase expected = isBad ? RollOutPhase.ROLLED_BACK : RollOutPhase.SUCCEEDED;
      assertEquals(simulation.rollOut().phase(), expected, "seed " + seed);
      assertTrue(!simulation.run.network.now().isAfter(deadline), "seed " + seed + ": too late");
      simulation.runUntil(
          Duration.ofSeconds(20), () -> simulation.run.network.now().isAfter(deadline));
      double allowed = MAX_EXPOSED_SHARE * simulation.allRequests() + MAX_EXPOSED_MORE;
      assertTrue(!isBad || simulation.requests("v2") <= allowed, "seed " + seed);
      assertTrue(isBad || simulation.changesTo("v1") <= MAX_WRONG_CHANGES, "seed " + seed);
    }
  }
}
