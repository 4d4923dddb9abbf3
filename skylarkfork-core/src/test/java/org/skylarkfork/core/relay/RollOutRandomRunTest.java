package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.relay.RollOutSimulation.Behaviour;
import org.skylarkfork.core.rollout.RollOutPhase;
import org.testng.annotations.Test;

/**
 * Random runs of roll-outs during which control VMs and entries are killed, frozen, cut off and
 * restarted.
 *
 * <p>A bad version is rolled back and a good one succeeds, by the deadline if no fault happened,
 * and a bad version gets few requests then.
 */
public final class RollOutRandomRunTest {

  /** System property with the number of seeds; higher numbers are for manual runs. */
  private static final String SEEDS_PROPERTY = "skylarkfork.rollout.seeds";

  /** System property with the first seed. */
  private static final String FIRST_PROPERTY = "skylarkfork.rollout.first";

  private static final int DEFAULT_SEEDS = 60;
  private static final long DEADLINE_MILLIS = 16_000;

  /** Maximum time between faults. */
  private static final int MAX_CALM_MILLIS = 2500;

  /** Maximum time from a step to the first fault; a leader that stays detects a bad version. */
  private static final int MAX_MILLIS_AFTER_STEP = 300;

  private static final int MAX_FAULTS = 4;

  /** Share of all requests until the deadline that a bad version may get. */
  private static final double MAX_EXPOSED_SHARE = 0.15;

  /** Number of further requests that a bad version may get. */
  private static final int MAX_EXPOSED_MORE = 30;

  private static final Duration DECISION_LIMIT = Duration.ofSeconds(60);

  /** Runs the seeds, two of three of them with a bad version. */
  @Test
  public void rollOutsAreDecidedRightlyInRandomRuns() {
    long first = Long.getLong(FIRST_PROPERTY, 1);
    int seeds = Integer.getInteger(SEEDS_PROPERTY, DEFAULT_SEEDS);
    for (long seed = first; seed < first + seeds; seed++) {
      try {
        run(seed, seed % 3 != 0);
      } catch (AssertionError | RuntimeException failed) {
        throw new AssertionError("seed " + seed, failed);
      }
    }
  }

  private static void run(long seed, boolean isBad) {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed * 31);
    RollOutSimulation simulation = new RollOutSimulation(seed);
    boolean isHitAtStep = random.nextBoolean();
    if (isHitAtStep) {
      simulation.useSessions();
    }
    int faults = random.nextInt(MAX_FAULTS + 1);
    Behaviour behaviour = isBad ? bad(random, simulation) : RollOutSimulation.good();
    simulation.order("v2", behaviour, DEADLINE_MILLIS);
    final Instant deadline = simulation.run.network.now().plusMillis(DEADLINE_MILLIS);
    if (isHitAtStep) {
      boolean isHitInTrial = random.nextBoolean();
      simulation.runUntil(
          DECISION_LIMIT,
          () ->
              simulation.isIn(RollOutPhase.MOVING)
                  || simulation.isDecided()
                  || isHitInTrial && simulation.isOnTrial());
      simulation.runFor(Duration.ofMillis(random.nextInt(MAX_MILLIS_AFTER_STEP)));
    }
    for (int fault = 0; fault < faults; fault++) {
      injectFault(simulation, random);
      simulation.runFor(Duration.ofMillis(random.nextInt(MAX_CALM_MILLIS)));
    }
    assertTrue(simulation.runUntil(DECISION_LIMIT, simulation::isDecided), "not decided");
    assertEquals(
        simulation.rollOut().phase(),
        isBad ? RollOutPhase.ROLLED_BACK : RollOutPhase.SUCCEEDED,
        isBad ? "a bad version" : "a good version");
    if (faults == 0) {
      assertTrue(!simulation.run.network.now().isAfter(deadline), "decided after the deadline");
      assertTrue(!isBad || isExposureBounded(simulation, deadline), "too many requests");
    }
  }

  private static boolean isExposureBounded(RollOutSimulation simulation, Instant deadline) {
    simulation.runUntil(DECISION_LIMIT, () -> simulation.run.network.now().isAfter(deadline));
    return simulation.requests("v2")
        <= MAX_EXPOSED_SHARE * simulation.allRequests() + MAX_EXPOSED_MORE;
  }

  /** Returns a version that is bad at once or from some moment of the canary phase on. */
  private static Behaviour bad(UniformRandomProvider random, RollOutSimulation simulation) {
    Behaviour later = random.nextBoolean() ? RollOutSimulation.slow() : RollOutSimulation.failing();
    Instant from = simulation.run.network.now().plusMillis(random.nextInt(8000));
    return random.nextBoolean() ? later : RollOutSimulation.until(from, later);
  }

  /** Injects a fault for up to two seconds and ends it. */
  private static void injectFault(RollOutSimulation simulation, UniformRandomProvider random) {
    RelaySimulation run = simulation.run;
    List<String> hit = new ArrayList<>();
    String leader = simulation.newestLeader();
    if (leader != null) {
      hit.add(leader);
    }
    int kind = random.nextInt(6);
    if (kind == 3 || kind == 5) {
      hit.clear();
      hit.addAll(run.controls);
    }
    if (kind == 4 || kind == 5) {
      hit.addAll(run.entries);
    }
    switch (kind) {
      case 0 -> hit.forEach(run.network::suspend);
      case 1 -> hit.forEach(run.network::isolate);
      default -> hit.forEach(run.network::crash);
    }
    simulation.runFor(Duration.ofMillis(300 + random.nextInt(1700)));
    run.network.reconnectAll();
    hit.stream().filter(run.network::isSuspended).forEach(run.network::resume);
    hit.stream().filter(name -> !run.network.isUp(name)).forEach(run::start);
  }
}
