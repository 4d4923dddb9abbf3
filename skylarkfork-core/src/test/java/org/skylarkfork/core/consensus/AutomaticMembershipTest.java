package org.skylarkfork.core.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.command.Members;
import org.testng.annotations.Test;

/** Tests groups that change their members without an operator. */
public final class AutomaticMembershipTest {

  private static final MembershipChangePolicy AUTOMATIC =
      new MembershipChangePolicy(true, 3, Duration.ofSeconds(2));
  private static final int RANDOM_RUNS = 120;
  private static final int STEPS = 12;

  private static TestCluster cluster(long seed) {
    return new TestCluster(seed, 3, TestCluster.settings(20), AUTOMATIC);
  }

  private static List<String> voters(TestCluster cluster) {
    return cluster.status(cluster.awaitLeader()).members().voters().stream()
        .map(Member::node)
        .sorted()
        .toList();
  }

  /**
   * Guards against lost changes when a control VM is lost permanently: an empty one at another
   * address must copy the log and become a voter before the lost one is removed.
   */
  @Test
  public void joiningNodeReplacesLostVoter() {
    TestCluster cluster = cluster(1);
    cluster.write(cluster.awaitLeader(), "before-", 30);
    cluster.network.crash("node-3");
    cluster.add("node-4", true);
    assertTrue(
        cluster.network.runUntil(
            Duration.ofSeconds(20),
            () ->
                cluster.leader() != null
                    && voters(cluster).equals(List.of("node-1", "node-2", "node-4"))),
        cluster.statuses());
    cluster.assertNothingLost();
  }

  /**
   * Guards against lost changes when a voter returns at its old address with an empty disk: it must
   * vote again only once it has copied the entries that it had acknowledged.
   */
  @Test
  public void wipedVoterVotesAgainAfterCatchingUp() {
    TestCluster cluster = cluster(2);
    cluster.write(cluster.awaitLeader(), "before-", 30);
    cluster.network.crash("node-2");
    cluster.network.crashAndWipe("node-2");
    cluster.network.start("node-2");
    assertTrue(cluster.awaitVoters(3), cluster.statuses());
    cluster.assertNothingLost();
  }

  /**
   * Guards against serving an empty configuration: if all disks are lost after the system has been
   * in service, a newly bootstrapped group would hide that accepted changes are lost.
   */
  @Test
  public void groupIsNotBootstrappedAgainAfterService() {
    TestCluster cluster =
        new TestCluster(
            3,
            3,
            TestCluster.settings(20),
            new MembershipChangePolicy(false, 3, Duration.ofSeconds(2)));
    cluster.network.run(Duration.ofSeconds(20));
    assertNull(cluster.leader());
    assertEquals(cluster.status("node-1").members(), Members.NONE);
  }

  /**
   * Guards against lost changes when a voter's damaged log was set aside: it must vote again only
   * once it has copied the entries that it had acknowledged.
   */
  @Test
  public void voterWhoseLogWasSetAsideVotesAgainAfterCatchingUp() {
    for (String damaged : List.of("node-1", "node-2")) {
      TestCluster cluster = cluster(5);
      cluster.write(cluster.awaitLeader(), "before-", 30);
      cluster.network.crashAndSetLogsAside(damaged);
      cluster.network.start(damaged);
      assertTrue(cluster.awaitVoters(3), cluster.statuses());
      cluster.assertNothingLost();
    }
  }

  /**
   * Guards against a second group that hides lost changes: the logs of all voters are damaged at
   * once, and each starts empty while it may still found the group, also after another restart.
   */
  @Test
  public void groupIsNotBootstrappedAgainOnceItsLogsWereSetAside() {
    TestCluster cluster = cluster(6);
    cluster.write(cluster.awaitLeader(), "before-", 5);
    cluster.daemons.keySet().forEach(cluster.network::crashAndSetLogsAside);
    assertNotBootstrapped(cluster);
    cluster.daemons.keySet().forEach(cluster.network::crash);
    assertNotBootstrapped(cluster);
  }

  /**
   * Guards against a second group that hides lost changes: the first voter's disk is wiped, and the
   * log of one of the others is damaged and set aside.
   */
  @Test
  public void wipedVoterDoesNotBootstrapBesideLogThatWasSetAside() {
    TestCluster cluster = cluster(7);
    cluster.write(cluster.awaitLeader(), "before-", 5);
    cluster.network.crashAndWipe("node-1");
    cluster.network.crashAndWipe("node-2");
    cluster.network.crashAndSetLogsAside("node-3");
    assertNotBootstrapped(cluster);
  }

  private static void assertNotBootstrapped(TestCluster cluster) {
    cluster.daemons.keySet().forEach(cluster.network::start);
    cluster.network.run(Duration.ofSeconds(20));
    assertNull(cluster.leader(), cluster.statuses());
    assertEquals(cluster.status("node-1").members(), Members.NONE);
  }

  /** A fourth control VM replicates the log as a learner while no voter is missing. */
  @Test
  public void spareControlVmDoesNotVote() {
    TestCluster cluster = cluster(4);
    cluster.write(cluster.awaitLeader(), "before-", 5);
    cluster.add("node-4", true);
    cluster.network.run(Duration.ofSeconds(6));
    assertEquals(voters(cluster), List.of("node-1", "node-2", "node-3"));
  }

  /**
   * Guards against loss of answered changes under crashes, partitions, wiped disks and joining
   * nodes, with one lost disk at a time.
   */
  @Test
  public void answeredChangesSurviveRandomFaults() {
    for (long seed = 0; seed < RANDOM_RUNS; seed++) {
      try {
        randomRun(seed, cluster(seed));
      } catch (AssertionError failed) {
        throw new AssertionError("seed " + seed, failed);
      }
    }
  }

  /**
   * Guards against loss of answered changes where voters campaign right after their start. Such a
   * start can break only a leader's lease.
   */
  @Test
  public void answeredChangesSurviveRandomFaultsWithQuickRestarts() {
    for (long seed = 0; seed < RANDOM_RUNS; seed++) {
      try {
        randomRun(seed, new TestCluster(seed, 3, TestCluster.quickRestartSettings(20), AUTOMATIC));
      } catch (AssertionError failed) {
        throw new AssertionError("seed " + seed, failed);
      }
    }
  }

  /**
   * Guards against a long outage after all voters were killed at once: there is no leader to wait
   * for, so restarted voters must elect one after a tenth of a second and not after a full election
   * timeout.
   */
  @Test
  public void leaderIsElectedSoonAfterRestartOfAllVoters() {
    for (long seed = 1; seed <= 20; seed++) {
      TestCluster cluster =
          new TestCluster(seed, 3, TestCluster.quickRestartSettings(20), AUTOMATIC);
      cluster.write(cluster.awaitLeader(), "before-", 30);
      List<String> names = List.copyOf(cluster.daemons.keySet());
      names.forEach(cluster.network::crash);
      cluster.network.run(Duration.ofMillis(50));
      names.forEach(cluster.network::start);
      assertTrue(
          cluster.network.runUntil(Duration.ofMillis(250), () -> cluster.leader() != null),
          "seed " + seed + cluster.statuses());
      cluster.assertNothingLost();
    }
  }

  private static void randomRun(long seed, TestCluster cluster) {
    cluster.network.setMessageFaults(0.02, 0.01, 3);
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    cluster.awaitLeader();
    cluster.add("node-4", true);
    List<String> names = new ArrayList<>(cluster.daemons.keySet());
    for (int step = 0; step < STEPS; step++) {
      String victim = names.get(random.nextInt(names.size()));
      injectFault(cluster, victim, random.nextInt(4));
      for (int key = 0; key < 5; key++) {
        cluster.submit(names.get(random.nextInt(names.size())), "key-" + step + "-" + key);
      }
      cluster.network.run(Duration.ofMillis(random.nextInt(4000)));
      cluster.network.reconnectAll();
      if (!cluster.network.isUp(victim)) {
        cluster.network.start(victim);
      }
      awaitFullRedundancy(cluster);
    }
    cluster.assertNothingLost();
  }

  private static void injectFault(TestCluster cluster, String victim, int faultKind) {
    if (faultKind == 0) {
      cluster.network.isolate(victim);
      return;
    }
    cluster.network.crash(victim);
    if (faultKind == 1) {
      cluster.network.crashAndWipe(victim);
    }
  }

  /** Waits until another disk may be lost: three voters hold all accepted entries. */
  private static void awaitFullRedundancy(TestCluster cluster) {
    assertTrue(cluster.awaitVoters(3), cluster.statuses());
    cluster.network.run(Duration.ofSeconds(2));
    assertTrue(cluster.awaitVoters(3), cluster.statuses());
  }
}
