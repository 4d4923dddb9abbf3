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

/** Tests of disks that are lost one after the other, while everything is killed in between. */
public final class LostDisksTest {

  private static final MembershipChangePolicy AUTOMATIC =
      new MembershipChangePolicy(true, 3, Duration.ofMillis(2500));
  private static final int RUNS = Integer.getInteger("skylarkfork.disks.seeds", 200);
  private static final int FIRST = Integer.getInteger("skylarkfork.disks.first", 0);

  /** Longest time from the last start until all replicas count, one of them with an empty disk. */
  private static final Duration REPAIRED = Duration.ofSeconds(4);

  private final List<Long> repairs = new ArrayList<>();

  /**
   * Guards against a group that stands still for good after a second disk was lost, though the
   * first one's replica had been named as a voter again.
   */
  @Test
  public void nextDiskMayBeLostOnceTheGroupNamesItsVoters() {
    for (long seed = FIRST; seed < FIRST + RUNS; seed++) {
      try {
        run(new TestCluster(seed, 3, TestCluster.quickRestarts(12), AUTOMATIC));
      } catch (AssertionError failed) {
        throw new AssertionError("seed " + seed, failed);
      }
    }
    Collections.sort(repairs);
    Reporter.log(
        "raft: counts again after ms: median "
            + repairs.get(repairs.size() / 2)
            + ", 99 of 100 within "
            + repairs.get(repairs.size() * 99 / 100)
            + ", longest "
            + repairs.get(repairs.size() - 1),
        true);
  }

  private void run(TestCluster cluster) {
    cluster.network.weather(0.01, 0.01, 5);
    cluster.awaitLeader();
    List<String> names = List.copyOf(cluster.daemons.keySet());
    int first = random(cluster, names.size());
    pass(cluster, 1000);
    boolean listensOnlyAfterTheKills = cluster.network.random().nextBoolean();
    if (listensOnlyAfterTheKills) {
      cluster.network.wipe(names.get(first));
    } else {
      loseDisk(cluster, names.get(first));
      killAll(cluster, names);
      pass(cluster, 1500);
    }
    killAll(cluster, names);
    final Instant started = cluster.network.now();
    final String second = names.get((first + 1 + random(cluster, 2)) % names.size());
    boolean atOnce = cluster.network.random().nextBoolean();
    if (atOnce) {
      pauseAndKill(cluster, second);
    }
    awaitNamedVoters(cluster, names);
    if (listensOnlyAfterTheKills && !atOnce) {
      repairs.add(Duration.between(started, cluster.network.now()).toMillis());
    }
    if (!atOnce) {
      pauseAndKill(cluster, second);
      awaitNamedVoters(cluster, names);
    }
    cluster.write(cluster.awaitLeader(), "between-", 3);
    awaitNamedVoters(cluster, names);
    loseDisk(cluster, second);
    awaitNamedVoters(cluster, names);
    cluster.network.weather(0, 0, 2);
    cluster.assertNothingLost();
  }

  private static void loseDisk(TestCluster cluster, String name) {
    cluster.network.wipe(name);
    pass(cluster, 2500);
    cluster.network.start(name);
    pass(cluster, 1500);
  }

  private static void killAll(TestCluster cluster, List<String> names) {
    names.forEach(cluster.network::crash);
    pass(cluster, 800);
    names.forEach(cluster.network::start);
  }

  private static void pauseAndKill(TestCluster cluster, String name) {
    cluster.network.freeze(name);
    pass(cluster, 1200);
    cluster.network.crash(name);
    pass(cluster, 600);
    cluster.network.start(name);
  }

  private static void awaitNamedVoters(TestCluster cluster, List<String> names) {
    boolean named = cluster.network.runUntil(REPAIRED, () -> namesVoters(cluster, names));
    assertTrue(named, cluster.statuses());
  }

  /** Returns whether a majority names the same voters, agreed on, each with its present disk. */
  private static boolean namesVoters(TestCluster cluster, List<String> names) {
    List<Member> present = new ArrayList<>();
    for (String name : names) {
      present.add(new Member(name, cluster.status(name).instance()));
    }
    long agreeing =
        names.stream()
            .map(cluster::status)
            .filter(status -> status.membersCommitted() && allVote(status.members(), present))
            .count();
    return cluster.leader() != null && agreeing * 2 > names.size();
  }

  private static boolean allVote(Members members, List<Member> present) {
    return members.voters().size() == present.size() && members.voters().containsAll(present);
  }

  private static void pass(TestCluster cluster, int mostMillis) {
    cluster.network.run(Duration.ofMillis(random(cluster, mostMillis)));
  }

  private static int random(TestCluster cluster, int bound) {
    return cluster.network.random().nextInt(bound);
  }
}
