package org.skylarkfork.core.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.command.LedgerResult;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.RaftMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests replicated groups with one failure at a time. */
public class ConsensusPartTest {

  private static TestCluster cluster(long seed, int voters, int snapshotEntries) {
    TestCluster cluster = new TestCluster(seed, voters, TestCluster.settings(snapshotEntries));
    cluster.awaitLeader();
    return cluster;
  }

  private static String other(TestCluster cluster, String... excluded) {
    for (String name : cluster.daemons.keySet()) {
      if (!java.util.List.of(excluded).contains(name)) {
        return name;
      }
    }
    throw new AssertionError("no other daemon");
  }

  @Test
  public void daemonWithoutReplicaReceivesResult() {
    TestCluster cluster = cluster(1, 3, 1000);
    cluster.add("entry", false);
    cluster.write("entry", "a", 20);
    assertTrue(cluster.answers.get("a0") instanceof LedgerResult, "" + cluster.answers.get("a0"));
    cluster.assertNothingLost();
  }

  @Test
  public void singleVoterCommits() {
    TestCluster cluster = cluster(2, 1, 10);
    cluster.write("node-1", "a", 100);
    cluster.assertNothingLost();
  }

  // Guards against a split brain: the leader is isolated without connection errors while commands
  // are submitted on both sides. It must lose its lease before the others elect a leader and answer
  // nothing; the other side must answer. After the partition the old leader truncates its
  // uncommitted entries, and its submitter receives the result by a resend.
  @Test
  public void isolatedLeaderAcceptsNothing() {
    TestCluster cluster = cluster(3, 3, 1000);
    String oldLeader = cluster.leader();
    String reachable = other(cluster, oldLeader);
    cluster.network.isolate(oldLeader);
    cluster.submit(oldLeader, "cut-off");
    cluster.submit(reachable, "free");
    cluster.network.run(Duration.ofMillis(280));
    assertNotEquals(cluster.status(oldLeader).role(), Role.LEADER);
    assertTrue(cluster.awaitAnswer("free"), cluster.statuses());
    assertFalse(cluster.answers.containsKey("cut-off"));
    cluster.network.reconnectAll();
    assertTrue(cluster.awaitAnswer("cut-off"), cluster.statuses());
    cluster.assertNothingLost();
  }

  /**
   * Guards against a success reported for a lost change: a leader that stepped down because of a
   * late vote response took another leader's entry at the same index for its own.
   */
  @Test
  public void leaderSteppingDownOnLateVoteResponseAnswersNothing() {
    TestCluster cluster = cluster(3, 3, 1000);
    String oldLeader = cluster.leader();
    final String reachable = other(cluster, oldLeader);
    cluster.network.isolate(oldLeader);
    cluster.submit(oldLeader, "cut-off");
    cluster.network.run(Duration.ofMillis(60));
    GroupStatus status = cluster.status(oldLeader);
    assertEquals(status.role(), Role.LEADER);
    long term = status.term() + 1;
    long instance = cluster.status(reachable).instance();
    cluster.network.inject(
        oldLeader,
        new PeerEvent.MessageReceived(
            reachable,
            new RaftMessage.VoteResponse(TestCluster.GROUP, term, instance, false, false)));
    cluster.write(reachable, "free-", 1);
    cluster.network.reconnectAll();
    assertTrue(cluster.awaitAnswer("cut-off"), cluster.statuses());
    cluster.assertNothingLost();
  }

  // Guards against an interruption of service when a voter returns after a partition of one minute.
  // Without the pre-vote it would increase its term every half second and force the leader to step
  // down on its return.
  @Test
  public void returningVoterDoesNotDisruptLeader() {
    TestCluster cluster = cluster(4, 3, 1000);
    String leader = cluster.leader();
    final long term = cluster.status(leader).term();
    String cutOff = other(cluster, leader);
    cluster.network.isolate(cutOff);
    cluster.network.run(Duration.ofSeconds(60));
    cluster.network.reconnectAll();
    cluster.network.run(Duration.ofSeconds(3));
    assertEquals(cluster.leader(), leader);
    assertEquals(cluster.status(cutOff).term(), term);
  }

  // Guards against lost changes when a second voter is lost permanently right after the first one's
  // disk was replaced. The first one returns under its name and must copy the log as a learner
  // before it votes again. Everything answered before, between and after must survive.
  @Test(dataProvider = "seeds")
  public void secondVoterLostRightAfterRepair(long seed) {
    TestCluster cluster = cluster(seed, 3, 40);
    cluster.write("node-2", "before-", 60);
    String repaired = other(cluster, cluster.leader());
    cluster.network.crashAndWipe(repaired);
    cluster.network.start(repaired);
    cluster.write(cluster.awaitLeader(), "between-", 30);
    assertTrue(
        cluster.network.runUntil(Duration.ofSeconds(30), () -> isRepaired(cluster, repaired)));
    String lost = other(cluster, repaired);
    cluster.network.crashAndWipe(lost);
    cluster.awaitLeader();
    cluster.write(repaired, "after-", 10);
    cluster.network.start(lost);
    assertTrue(cluster.awaitVoters(3), cluster.statuses());
    cluster.assertNothingLost();
  }

  private static boolean isRepaired(TestCluster cluster, String node) {
    String leader = cluster.leader();
    if (leader == null
        || cluster.status(leader).commitIndex() < cluster.status(leader).lastIndex()) {
      return false;
    }
    long instances = cluster.status(leader).members().voters().size();
    return instances == 3
        && cluster.status(node).members().find(node) != null
        && cluster.status(node).members().voters().size() == 3
        && cluster.status(node).role() == Role.FOLLOWER;
  }

  // Guards against lost changes when two of three voters lose their disks at once and only the
  // third one holds an accepted change. The two empty replicas must not elect a leader without it;
  // the group must stay unavailable instead.
  @Test
  public void twoWipedVotersDoNotFormMajority() {
    TestCluster cluster = cluster(5, 3, 1000);
    cluster.write("node-1", "kept-", 5);
    String survivor = cluster.leader();
    for (String name : cluster.daemons.keySet()) {
      if (!name.equals(survivor)) {
        cluster.network.crashAndWipe(name);
        cluster.network.start(name);
      }
    }
    cluster.network.isolate(survivor);
    cluster.network.run(Duration.ofSeconds(20));
    assertEquals(cluster.leader(), null);
    cluster.network.reconnectAll();
    cluster.network.run(Duration.ofSeconds(20));
    assertEquals(cluster.leader(), null);
  }

  // Guards against a voter that stays away, where operators manage the members, until one of them
  // replaces its damaged log.
  @Test
  public void voterWhoseLogWasSetAsideReturnsWithoutOperator() {
    TestCluster cluster = cluster(7, 3, 40);
    cluster.write("node-2", "before-", 60);
    for (String damaged : List.copyOf(cluster.daemons.keySet())) {
      cluster.network.crashAndSetLogsAside(damaged);
      cluster.network.start(damaged);
      cluster.awaitLeader();
      assertTrue(
          cluster.network.runUntil(Duration.ofSeconds(30), () -> isRepaired(cluster, damaged)),
          cluster.statuses());
      cluster.assertNothingLost();
    }
  }

  // Guards against a group that starts again from nothing: its only voter's log was damaged, and
  // nobody else has what was accepted.
  @Test
  public void onlyVoterWhoseLogWasSetAsideWaitsForOperator() {
    TestCluster cluster = cluster(8, 1, 40);
    cluster.write("node-1", "before-", 5);
    cluster.network.crashAndSetLogsAside("node-1");
    cluster.network.start("node-1");
    cluster.network.run(Duration.ofSeconds(20));
    assertEquals(cluster.leader(), null);
  }

  // Guards against lost changes when all processes restart from their disks after 500 changes, with
  // snapshots and without. Every answered change must be present.
  @Test(dataProvider = "thresholds")
  public void restartAfterManyChanges(int snapshotEntries) {
    TestCluster cluster = cluster(6, 3, snapshotEntries);
    for (int i = 0; i < 5; i++) {
      cluster.write("node-" + (1 + i % 3), "w" + i + "-", 100);
    }
    cluster.daemons.keySet().forEach(cluster.network::crash);
    cluster.daemons.keySet().forEach(cluster.network::start);
    assertTrue(cluster.awaitLeader() != null);
    long snapshotIndex = cluster.status("node-1").snapshotIndex();
    assertEquals(snapshotIndex > 0, snapshotEntries < 500);
    cluster.assertNothingLost();
  }

  // Guards against a voter that can't catch up: the log was compacted while it was down, so the
  // leader must send its snapshot in chunks although messages are lost.
  @Test
  public void laggingVoterReceivesSnapshot() {
    TestCluster cluster = cluster(7, 3, 20);
    String lagging = other(cluster, cluster.leader());
    cluster.network.crash(lagging);
    cluster.write(cluster.leader(), "missed-", 150);
    cluster.network.setMessageFaults(0.2, 0.2, 20);
    cluster.network.start(lagging);
    cluster.network.run(Duration.ofSeconds(10));
    cluster.network.setMessageFaults(0, 0, 2);
    cluster.assertNothingLost();
    assertTrue(cluster.daemons.get(lagging).restores > 0);
  }

  // Guards against a leader that continues after its disk failed: it must step down and acknowledge
  // nothing, and the other voters must continue.
  @Test
  public void failedSyncStopsOnlyTheVoter() {
    TestCluster cluster = cluster(8, 3, 1000);
    String failing = cluster.leader();
    cluster.network.failWrites(failing);
    cluster.submit(failing, "during");
    cluster.network.run(Duration.ofSeconds(3));
    assertTrue(cluster.status(failing).storageFailed());
    assertNotEquals(cluster.awaitLeader(), failing);
    assertTrue(cluster.awaitAnswer("during"), cluster.statuses());
  }

  // Guards against answers for entries that a majority holds only in memory: with syncs that take
  // 50 ms, all three processes crash right after the first answer.
  @Test(dataProvider = "seeds")
  public void answeredEntriesAreSynced(long seed) {
    TestCluster cluster = cluster(seed, 3, 1000);
    cluster.network.setMaxSyncMillis(50);
    for (int round = 0; round < 5; round++) {
      String key = "round-" + round;
      cluster.submit(cluster.awaitLeader(), key);
      assertTrue(cluster.awaitAnswer(key), cluster.statuses());
      cluster.daemons.keySet().forEach(cluster.network::crash);
      cluster.daemons.keySet().forEach(cluster.network::start);
    }
    cluster.assertNothingLost();
  }

  @Test
  public void secondMemberChangeWaitsForTheFirst() {
    TestCluster cluster = cluster(9, 3, 50);
    cluster.write("node-1", "a", 80);
    cluster.add("node-4", true);
    cluster.network.run(Duration.ofSeconds(1));
    GroupCommand admit = new GroupCommand.AdmitMember("node-4");
    GroupCommand remove = new GroupCommand.RemoveMember(cluster.leader());
    cluster.submit(cluster.leader(), admit);
    cluster.submit(cluster.leader(), remove);
    assertTrue(cluster.awaitAnswer(admit.toString()));
    assertEquals(cluster.answers.get(admit.toString()), new CommandResult.Done());
    assertTrue(cluster.awaitAnswer(remove.toString()));
    assertTrue(cluster.answers.get(remove.toString()) instanceof CommandResult.Rejected);
    assertTrue(cluster.awaitVoters(4));
    String removed = cluster.leader();
    cluster.submit(removed, remove);
    assertTrue(
        cluster.network.runUntil(
            Duration.ofSeconds(10),
            () -> cluster.leader() != null && !cluster.leader().equals(removed)));
    assertTrue(cluster.awaitVoters(3));
    cluster.network.crash(removed);
    cluster.write("node-4", "b", 10);
  }

  // Guards against an election timeout on a planned stop: the leader must transfer its leadership.
  @Test
  public void plannedStopTransfersLeadership() {
    TestCluster cluster = cluster(16, 3, 1000);
    String stopped = cluster.leader();
    Instant before = cluster.network.now();
    cluster.network.inject(stopped, new LifecycleEvent.StopRequested());
    assertNotEquals(cluster.awaitLeader(), stopped);
    Duration gap = Duration.between(before, cluster.network.now());
    assertTrue(gap.compareTo(RaftTimeouts.DEFAULT.electionMin()) < 0, gap.toString());
  }

  @Test
  public void tooManySubmissionsAreRefused() {
    TestCluster cluster = cluster(10, 3, 1000);
    String leader = cluster.leader();
    for (int i = 0; i < 400; i++) {
      cluster.submit(leader, "burst-" + i);
    }
    cluster.network.run(Duration.ofSeconds(2));
    assertFalse(cluster.failures.isEmpty());
    assertEquals(cluster.failures.size() + cluster.answers.size(), 400);
    cluster.write(leader, "after-", 10);
  }

  /** Returns the seeds of the repeated runs. */
  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{11L}, {12L}, {13L}, {14L}, {15L}};
  }

  /** Returns snapshot thresholds that lead to several snapshots and to none. */
  @DataProvider
  public Object[][] thresholds() {
    return new Object[][] {{60}, {10_000}};
  }
}
