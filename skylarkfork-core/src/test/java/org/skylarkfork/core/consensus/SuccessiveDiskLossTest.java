package org.skylarkfork.core.consensus;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.command.Members;
import org.testng.Reporter;
import org.testng.annotations.Test;

/** Tests the loss of one disk after another, with kills of all processes in between. */
public final class SuccessiveDiskLossTest {

  private static final MembershipChangePolicy AUTOMATIC =
      new MembershipChangePolicy(true, 3, Duration.ofMillis(2500));
  private static final int SEED_COUNT = Integer.getInteger("skylarkfork.disks.seeds", 200);
  private static final int FIRST_SEED = Integer.getInteger("skylarkfork.disks.first", 0);

  /**
   * Maximum time from the last start until all replicas are voters, one of them with an empty disk.
   */
  private static final Duration REPAIR_TIMEOUT = Duration.ofSeconds(4);

  private final List<Long> repairMillis = new ArrayList<>();

  /**
   * Guards against a group that stays unavailable after the loss of a second disk, although the
   * replica with the first lost disk had become a voter again.
   */
  @Test
  public void groupSurvivesNextDiskLossOnceVotersAreCommitted() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
      try {
        run(new TestCluster(seed, 3, TestCluster.quickRestartSettings(12), AUTOMATIC));
      } catch (AssertionError failed) {
        throw new AssertionError("seed " + seed, failed);
      }
    }
    Collections.sort(repairMillis);
    Reporter.log(
        "raft: votes again after ms: median "
            + repairMillis.get(repairMillis.size() / 2)
            + ", 99 of 100 within "
            + repairMillis.get(repairMillis.size() * 99 / 100)
            + ", longest "
            + repairMillis.get(repairMillis.size() - 1),
        true);
  }

  private void run(TestCluster cluster) {
    cluster.network.setMessageFaults(0.01, 0.01, 5);
    cluster.awaitLeader();
    List<String> names = List.copyOf(cluster.daemons.keySet());
    int first = random(cluster, names.size());
    runUpTo(cluster, 1000);
    boolean wipedNodeStartsAfterKills = cluster.network.random().nextBoolean();
    if (wipedNodeStartsAfterKills) {
      cluster.network.crashAndWipe(names.get(first));
    } else {
      loseDisk(cluster, names.get(first));
      killAll(cluster, names);
      runUpTo(cluster, 1500);
    }
    killAll(cluster, names);
    final Instant started = cluster.network.now();
    final String second = names.get((first + 1 + random(cluster, 2)) % names.size());
    boolean killsSecondImmediately = cluster.network.random().nextBoolean();
    if (killsSecondImmediately) {
      freezeAndKill(cluster, second);
    }
    awaitCommittedVoters(cluster, names);
    if (wipedNodeStartsAfterKills && !killsSecondImmediately) {
      repairMillis.add(Duration.between(started, cluster.network.now()).toMillis());
    }
    if (!killsSecondImmediately) {
      freezeAndKill(cluster, second);
      awaitCommittedVoters(cluster, names);
    }
    cluster.write(cluster.awaitLeader(), "between-", 3);
    awaitCommittedVoters(cluster, names);
    loseDisk(cluster, second);
    awaitCommittedVoters(cluster, names);
    cluster.network.setMessageFaults(0, 0, 2);
    cluster.assertNothingLost();
  }

  private static void loseDisk(TestCluster cluster, String name) {
    cluster.network.crashAndWipe(name);
    runUpTo(cluster, 2500);
    cluster.network.start(name);
    runUpTo(cluster, 1500);
  }

  private static void killAll(TestCluster cluster, List<String> names) {
    names.forEach(cluster.network::crash);
    runUpTo(cluster, 800);
    names.forEach(cluster.network::start);
  }

  private static void freezeAndKill(TestCluster cluster, String name) {
    cluster.network.suspend(name);
    runUpTo(cluster, 1200);
    cluster.network.crash(name);
    runUpTo(cluster, 600);
    cluster.network.start(name);
  }

  private static void awaitCommittedVoters(TestCluster cluster, List<String> names) {
    boolean committed =
        cluster.network.runUntil(REPAIR_TIMEOUT, () -> hasCommittedVoters(cluster, names));
    assertTrue(committed, cluster.statuses());
  }

  /** Returns whether a majority reports the same committed voters, each with its current disk. */
  private static boolean hasCommittedVoters(TestCluster cluster, List<String> names) {
    List<Member> current = new ArrayList<>();
    for (String name : names) {
      current.add(new Member(name, cluster.status(name).instance()));
    }
    long agreeing =
        names.stream()
            .map(cluster::status)
            .filter(status -> status.membersCommitted() && allVote(status.members(), current))
            .count();
    return cluster.leader() != null && agreeing * 2 > names.size();
  }

  private static boolean allVote(Members members, List<Member> current) {
    return members.voters().size() == current.size() && members.voters().containsAll(current);
  }

  private static void runUpTo(TestCluster cluster, int maxMillis) {
    cluster.network.run(Duration.ofMillis(random(cluster, maxMillis)));
  }

  private static int random(TestCluster cluster, int bound) {
    return cluster.network.random().nextInt(bound);
  }
}
