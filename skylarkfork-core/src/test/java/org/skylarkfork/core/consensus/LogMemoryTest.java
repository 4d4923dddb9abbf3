package org.skylarkfork.core.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

/** Tests that the log in memory is bounded by the size of its commands, not by their number. */
public final class LogMemoryTest {

  private static final int COMMAND_BYTES = 100;
  private static final int SNAPSHOT_BYTES = 20 * COMMAND_BYTES;
  private static final int TRAILING_BYTES = 8 * COMMAND_BYTES;
  private static final int IN_FLIGHT_BYTES = 6 * COMMAND_BYTES;
  private static final int MANY = 100_000;

  private static RaftSettings settings() {
    RaftLimits limits =
        new RaftLimits(
            MANY,
            SNAPSHOT_BYTES,
            MANY,
            TRAILING_BYTES,
            8,
            1024,
            MANY,
            IN_FLIGHT_BYTES,
            100,
            200,
            64 * 1024,
            300);
    return new RaftSettings(RaftTimeouts.DEFAULT, limits);
  }

  private static TestCluster cluster(long seed) {
    TestCluster cluster = new TestCluster(seed, 3, settings());
    cluster.awaitLeader();
    return cluster;
  }

  /** Guards against a control VM that ends, out of memory, under few but large commands. */
  @Test
  public void logInMemoryIsBoundedByTheSizeOfItsCommands() {
    TestCluster cluster = cluster(1);
    for (int round = 0; round < 40; round++) {
      cluster.write(cluster.awaitLeader(), "round-" + round + "-", 10);
      for (String name : cluster.daemons.keySet()) {
        long bytes = cluster.status(name).logBytes();
        assertTrue(bytes <= SNAPSHOT_BYTES + TRAILING_BYTES + 10 * COMMAND_BYTES, name + bytes);
      }
    }
    cluster.assertNothingLost();
  }

  /** Guards against a replica that the bytes in flight or a compacted log leave behind for good. */
  @Test
  public void replicaThatLagsBehindTheTrailingEntriesCatchesUp() {
    TestCluster cluster = cluster(2);
    String leader = cluster.leader();
    String lagging = leader.equals("node-1") ? "node-2" : "node-1";
    cluster.network.isolate(lagging);
    cluster.write(leader, "missed-", 100);
    cluster.network.reconnectAll();
    cluster.write(cluster.awaitLeader(), "after-", 100);
    cluster.network.run(Duration.ofSeconds(3));
    assertEquals(
        cluster.status(lagging).commitIndex(), cluster.status(cluster.leader()).commitIndex());
    cluster.assertNothingLost();
  }
}
