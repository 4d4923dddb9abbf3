package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.rollout.RollOutPhase;
import org.testng.annotations.Test;

/** Tests of roll-outs whose leader changes, in virtual time. */
public final class RollOutLeadershipTest {

  private static final long DEADLINE_MILLIS = 16_000;
  private static final int SEEDS = 12;

  /** Runs until a version that was good in its trial gets all requests and behaves otherwise. */
  private static RollOutSimulation runUntilMove(long seed, RollOutSimulation.Behaviour version) {
    RollOutSimulation simulation = new RollOutSimulation(seed);
    simulation.useSessions();
    simulation.order("v2", RollOutSimulation.good(), DEADLINE_MILLIS);
    assertTrue(
        simulation.runUntil(Duration.ofSeconds(12), () -> simulation.isIn(RollOutPhase.MOVING)),
        "seed " + seed + ": no move");
    simulation.setBehaviour("v2", version);
    return simulation;
  }

  private static void restartAll(RollOutSimulation simulation, List<String> daemons) {
    daemons.forEach(simulation.run.network::crash);
    simulation.runFor(Duration.ofSeconds(1));
    daemons.forEach(simulation.run::start);
  }

  private static void assertDecision(
      RollOutSimulation simulation, RollOutPhase phase, long seed, Duration limit) {
    assertTrue(simulation.runUntil(limit, simulation::isDecided), "seed " + seed + ": not decided");
    assertEquals(simulation.rollOut().phase(), phase, "seed " + seed);
  }

  /**
   * A slow version is not declared good when all control VMs restart right after the move, whoever
   * leads then.
   */
  @Test
  public void slowVersionIsRolledBackAfterAllControlVmsRestart() {
    int sameLeaders = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      RollOutSimulation simulation = runUntilMove(seed, RollOutSimulation.slow());
      String before = simulation.newestLeader();
      restartAll(simulation, List.copyOf(simulation.run.controls));
      assertDecision(simulation, RollOutPhase.ROLLED_BACK, seed, Duration.ofSeconds(12));
      sameLeaders += simulation.newestLeader().equals(before) ? 1 : 0;
    }
    assertTrue(sameLeaders > 0 && sameLeaders < SEEDS, sameLeaders + " of " + SEEDS);
  }

  /**
   * A slow version is not declared good when every daemon restarts right after the move, so that no
   * process remembers how the old version answered.
   */
  @Test
  public void slowVersionIsRolledBackAfterEveryDaemonRestarts() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      RollOutSimulation simulation = runUntilMove(seed, RollOutSimulation.slow());
      List<String> all = new ArrayList<>(simulation.run.controls);
      all.addAll(simulation.run.entries);
      restartAll(simulation, all);
      assertDecision(simulation, RollOutPhase.ROLLED_BACK, seed, Duration.ofSeconds(12));
    }
  }

  /**
   * A slow version is not declared good by a leader that replaces one which was killed, frozen or
   * cut off right after the move, without any restart of the others.
   */
  @Test
  public void slowVersionIsRolledBackByTheNextLeader() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      RollOutSimulation simulation = runUntilMove(seed, RollOutSimulation.slow());
      String leader = simulation.newestLeader();
      switch ((int) (seed % 3)) {
        case 0 -> simulation.run.network.crash(leader);
        case 1 -> simulation.run.network.suspend(leader);
        default -> simulation.run.network.isolate(leader);
      }
      assertTrue(
          simulation.runUntil(
              Duration.ofSeconds(6), () -> !leader.equals(simulation.newestLeader())),
          "seed " + seed + ": no other leader");
      assertDecision(simulation, RollOutPhase.ROLLED_BACK, seed, Duration.ofSeconds(12));
    }
  }

  /** A good version still succeeds when all control VMs restart right after the move. */
  @Test
  public void goodVersionSucceedsAfterAllControlVmsRestart() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      RollOutSimulation simulation = runUntilMove(seed, RollOutSimulation.good());
      restartAll(simulation, List.copyOf(simulation.run.controls));
      assertDecision(simulation, RollOutPhase.SUCCEEDED, seed, Duration.ofSeconds(10));
    }
  }

  /**
   * A version that was good in one roll-out and is bad in the next one to it has a canary phase in
   * both, and is rolled back in the second.
   */
  @Test
  public void secondRollOutToOneVersionIsDecidedAnew() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      RollOutSimulation simulation = new RollOutSimulation(seed);
      Duration limit = Duration.ofMillis(DEADLINE_MILLIS);
      simulation.order("v2", RollOutSimulation.good(), DEADLINE_MILLIS);
      assertDecision(simulation, RollOutPhase.SUCCEEDED, seed, limit);
      simulation.order("v1", RollOutSimulation.good(), DEADLINE_MILLIS);
      assertDecision(simulation, RollOutPhase.SUCCEEDED, seed, limit);
      simulation.order("v2", RollOutSimulation.slow(), DEADLINE_MILLIS);
      assertDecision(simulation, RollOutPhase.ROLLED_BACK, seed, limit);
      assertTrue(
          simulation.requests("v2") <= 0.15 * simulation.allRequests() + 30,
          "seed " + seed + ": " + simulation.requests("v2") + " requests");
    }
  }

  /**
   * A version that follows one which was rolled back is compared with the version in use only, and
   * requests outside the canary phase go to that one only, whatever still runs.
   */
  @Test
  public void versionAfterOneThatWasRolledBackIsComparedWithTheOneInUse() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      RollOutSimulation simulation = new RollOutSimulation(seed);
      Duration limit = Duration.ofMillis(DEADLINE_MILLIS);
      simulation.order("v2", RollOutSimulation.slow(), DEADLINE_MILLIS);
      assertDecision(simulation, RollOutPhase.ROLLED_BACK, seed, limit);
      simulation.order("v3", RollOutSimulation.slow(), DEADLINE_MILLIS);
      simulation.runFor(Duration.ofMillis(500));
      long requestsBefore = simulation.requests("v2");
      assertDecision(simulation, RollOutPhase.ROLLED_BACK, seed, limit);
      assertEquals(simulation.requests("v2"), requestsBefore, "seed " + seed);
    }
  }
}
