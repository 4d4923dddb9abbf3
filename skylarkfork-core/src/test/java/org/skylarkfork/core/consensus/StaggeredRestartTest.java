package org.skylarkfork.core.consensus;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.testng.Reporter;
import org.testng.annotations.Test;

/** Tests elections after a crash of all voters, which then start one after the other. */
public final class StaggeredRestartTest {

  private static final int VOTERS = 5;
  private static final int SEED_COUNT = 200;

  /** Maximum time until a process that has just started handles a message. */
  private static final int SLOW_MESSAGE_MILLIS = 60;

  /** Time within which the voters of a deployment start after a power loss. */
  private static final int MAX_STAGGER_MILLIS = 450;

  /**
   * Time from the start of a majority until a leader is known: the voter's wait after a restart,
   * two heartbeats for lost requests and the messages of both rounds of votes.
   */
  private static final Duration LEADER_TIMEOUT = Duration.ofMillis(500);

  /**
   * Guards against an outage that lasts for another election timeout because requests for votes
   * were sent to voters that had not started yet, and were lost.
   */
  @Test
  public void leaderIsElectedSoonAfterMajorityHasStarted() {
    List<Long> millis = new ArrayList<>();
    for (long seed = 0; seed < SEED_COUNT; seed++) {
      millis.add(restart(seed));
    }
    Collections.sort(millis);
    long median = millis.get(SEED_COUNT / 2);
    long late = millis.stream().filter(time -> time > LEADER_TIMEOUT.toMillis()).count();
    Reporter.log(
        "raft: leader after a staggered restart: median "
            + median
            + " ms, 95 of 100 within "
            + millis.get(SEED_COUNT * 95 / 100)
            + " ms, longest "
            + millis.get(SEED_COUNT - 1)
            + " ms",
        true);
    assertTrue(late <= SEED_COUNT / 20, late + " of " + SEED_COUNT + " restarts took longer");
  }

  /**
   * Guards against voters that block each other for good: three of five are left, and one link
   * between them is broken, so that only one can win. Neither of the other two may insist on
   * campaigning itself, whatever their names.
   */
  @Test
  public void voterThatReachesMajorityIsElectedDespiteBrokenLink() {
    for (int first = 1; first <= 3; first++) {
      for (int second = first + 1; second <= 3; second++) {
        for (long seed = 0; seed < 10; seed++) {
          TestCluster cluster = new TestCluster(seed, VOTERS, settings());
          cluster.awaitLeader();
          List<String> names = List.copyOf(cluster.daemons.keySet());
          cluster.network.run(Duration.ofSeconds(1));
          names.forEach(cluster.network::crash);
          cluster.network.disconnect(names.get(first - 1), names.get(second - 1));
          cluster.network.run(Duration.ofSeconds(1));
          names.subList(0, 3).forEach(cluster.network::start);
          cluster.awaitLeader();
        }
      }
    }
  }

  /** Returns settings with the relay's timeouts. */
  private static RaftSettings settings() {
    RaftTimeouts timeouts =
        new RaftTimeouts(
            Duration.ofMillis(350),
            Duration.ofMillis(700),
            Duration.ofMillis(120),
            Duration.ofMillis(300),
            Duration.ofMillis(700),
            RaftTimeouts.DEFAULT.storageStallTimeout(),
            RaftTimeouts.DEFAULT.resendInterval(),
            Duration.ofMillis(120));
    return new RaftSettings(timeouts, TestCluster.smallLimits(12));
  }

  /** Returns the time from the start of a majority until a leader is known, in milliseconds. */
  private static long restart(long seed) {
    TestCluster cluster = new TestCluster(seed, VOTERS, settings());
    cluster.network.setMessageFaults(0, 0, SLOW_MESSAGE_MILLIS);
    cluster.awaitLeader();
    List<String> names = List.copyOf(cluster.daemons.keySet());
    cluster.network.run(Duration.ofSeconds(1));
    names.forEach(cluster.network::crash);
    cluster.network.run(Duration.ofSeconds(1));
    List<Integer> starts = new ArrayList<>();
    for (int index = 0; index < VOTERS; index++) {
      starts.add(cluster.network.random().nextInt(MAX_STAGGER_MILLIS));
    }
    Collections.sort(starts);
    int elapsed = 0;
    Instant majority = cluster.network.now();
    for (int index = 0; index < VOTERS; index++) {
      cluster.network.run(Duration.ofMillis(starts.get(index) - elapsed));
      elapsed = starts.get(index);
      cluster.network.start(names.get(index));
      if (index == VOTERS / 2) {
        majority = cluster.network.now();
      }
    }
    cluster.awaitLeader();
    return Duration.between(majority, cluster.network.now()).toMillis();
  }
}
