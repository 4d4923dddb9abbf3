package org.skylarkfork.core.relay;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/**
 * Random runs of control VMs and entries with the invariants of {@link RelaySimulation}.
 *
 * <p>No entry accepts a removed key after its bound, reverts to an older configuration, or uses a
 * configuration that was not accepted. Meanwhile daemons crash, freeze, lose their disks, are
 * replaced and partitioned, clocks differ by up to an hour, and operators send conflicting changes.
 */
public final class RelayRandomRunTest {

  /** System property with the number of seeds; higher numbers are for manual runs. */
  private static final String SEEDS_PROPERTY = "skylarkfork.relay.seeds";

  /** System property with the first seed. */
  private static final String FIRST_PROPERTY = "skylarkfork.relay.first";

  private static final int DEFAULT_SEEDS = 100;
  private static final int EVACUATION_SEEDS = 30;
  private static final int STEPS = 10;
  private static final int ENTRIES = 20;
  private static final List<Integer> VOTERS = List.of(3, 3, 5, 5, 7, 9);

  /** Runs the seeds and prints the numbers of events, accepted changes and reads. */
  @Test
  public void invariantsHoldInRandomRuns() {
    long first = Long.getLong(FIRST_PROPERTY, 1);
    int seeds = Integer.getInteger(SEEDS_PROPERTY, DEFAULT_SEEDS);
    long events = 0;
    int accepted = 0;
    int reads = 0;
    for (long seed = first; seed < first + seeds; seed++) {
      try {
        RelaySimulation run = run(seed);
        events += run.events;
        accepted += run.accepted;
        reads += run.reads;
      } catch (AssertionError | RuntimeException failed) {
        throw new AssertionError("seed " + seed, failed);
      }
    }
    assertTrue(accepted > seeds && reads > seeds, accepted + " accepted, " + reads + " read");
    System.out.println(
        seeds + " seeds, " + events + " events, " + accepted + " accepted, " + reads + " reads");
  }

  /**
   * Each entry that may serve applies evacuations of zones and their ends within the bound, while
   * the same faults happen.
   */
  @Test
  public void evacuationsHoldInRandomRuns() {
    long first = Long.getLong(FIRST_PROPERTY, 1);
    int ordersAccepted = 0;
    int seeds = Integer.getInteger(SEEDS_PROPERTY, EVACUATION_SEEDS);
    for (long seed = first; seed < first + seeds; seed++) {
      try {
        UniformRandomProvider orders = RandomSource.XO_SHI_RO_256_PP.create(seed);
        ordersAccepted += run(seed, run -> sendOrder(run, orders)).ordersAccepted;
      } catch (AssertionError | RuntimeException failed) {
        throw new AssertionError("seed " + seed, failed);
      }
    }
    assertTrue(ordersAccepted > seeds, ordersAccepted + " accepted");
    System.out.println(seeds + " seeds, " + ordersAccepted + " orders on zones accepted");
  }

  private static void sendOrder(RelaySimulation run, UniformRandomProvider random) {
    List<String> running = run.runningControls();
    if (!running.isEmpty()) {
      run.orderOnZone(
          running.get(random.nextInt(running.size())), random.nextBoolean() ? "a" : "b");
    }
  }

  private static RelaySimulation run(long seed) {
    return run(seed, run -> {});
  }

  private static RelaySimulation run(long seed, Consumer<RelaySimulation> orders) {
    int voters = VOTERS.get((int) Math.floorMod(seed, (long) VOTERS.size()));
    RelaySimulation run = new RelaySimulation(seed, voters, (int) (seed % 2), ENTRIES);
    run.network.setMessageFaults(0.01, 0.01, 3);
    assertTrue(
        run.runUntilRepaired(), "the group is bootstrapped and grows" + run.describeGroups());
    run.putNext(run.controls.get(0));
    UniformRandomProvider random = run.random();
    for (int step = 0; step < STEPS; step++) {
      final List<String> downDaemons = injectFault(run, random);
      orders.accept(run);
      sendCommands(run, random);
      orders.accept(run);
      recover(run, downDaemons);
    }
    run.assertAcceptsChanges();
    return run;
  }

  /** Injects a fault and returns the daemons that must be restarted afterwards. */
  private static List<String> injectFault(RelaySimulation run, UniformRandomProvider random) {
    List<String> downDaemons = new ArrayList<>();
    switch (random.nextInt(9)) {
      case 0 -> downDaemons.addAll(crash(run, run.controls, 1 + random.nextInt(3)));
      case 1 -> downDaemons.addAll(crash(run, run.entries, 1 + random.nextInt(6)));
      case 2 -> downDaemons.addAll(crash(run, run.controls, run.controls.size()));
      case 3 -> downDaemons.addAll(wipe(run));
      case 4 -> freeze(run, run.controls, 1 + random.nextInt(3));
      case 5 -> freeze(run, run.entries, 1 + random.nextInt(6));
      case 6 -> partition(run, random);
      case 7 -> pick(run, run.entries, 1 + random.nextInt(4)).forEach(run.network::isolate);
      default -> replace(run);
    }
    return downDaemons;
  }

  private static List<String> pick(RelaySimulation run, List<String> from, int count) {
    List<String> left = new ArrayList<>(from);
    left.removeIf(name -> !run.network.isUp(name));
    List<String> picked = new ArrayList<>();
    while (!left.isEmpty() && picked.size() < count) {
      picked.add(left.remove(run.random().nextInt(left.size())));
    }
    return picked;
  }

  private static List<String> crash(RelaySimulation run, List<String> from, int count) {
    List<String> crashed = pick(run, from, count);
    crashed.forEach(run.network::crash);
    return crashed;
  }

  private static List<String> wipe(RelaySimulation run) {
    List<String> wiped = pick(run, run.controls, 1);
    wiped.forEach(run.network::crashAndWipe);
    return wiped;
  }

  private static void freeze(RelaySimulation run, List<String> from, int count) {
    pick(run, from, count).forEach(run.network::suspend);
  }

  private static void partition(RelaySimulation run, UniformRandomProvider random) {
    List<String> partitioned = pick(run, run.controls, 1 + random.nextInt(run.controls.size() / 2));
    for (String isolated : partitioned) {
      for (String other : run.controls) {
        if (!partitioned.contains(other)) {
          run.network.disconnect(isolated, other);
        }
      }
    }
  }

  /** Removes a control VM permanently and adds an empty one at another address. */
  private static void replace(RelaySimulation run) {
    List<String> gone = crash(run, run.controls, 1);
    run.controls.removeAll(gone);
    run.addControl("control-" + (100 + run.events));
  }

  private static void sendCommands(RelaySimulation run, UniformRandomProvider random) {
    int calls = 2 + random.nextInt(6);
    for (int call = 0; call < calls; call++) {
      List<String> running = run.runningControls();
      if (!running.isEmpty()) {
        String control = running.get(random.nextInt(running.size()));
        switch (random.nextInt(4)) {
          case 0 -> run.read(control);
          case 1 -> run.putConflicting(control);
          default -> run.putNext(control);
        }
      }
      run.network.run(Duration.ofMillis(random.nextInt(1600)));
    }
  }

  private static void recover(RelaySimulation run, List<String> downDaemons) {
    run.network.reconnectAll();
    List<String> all = new ArrayList<>(run.controls);
    all.addAll(run.entries);
    all.stream().filter(run.network::isSuspended).forEach(run.network::resume);
    downDaemons.stream().filter(name -> !run.network.isUp(name)).forEach(run::start);
    assertTrue(run.runUntilRepaired(), "all voters have recovered" + run.describeGroups());
  }
}
