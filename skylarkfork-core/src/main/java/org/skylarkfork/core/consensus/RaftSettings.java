package org.skylarkfork.core.consensus;

import java.time.Duration;

/**
 * Times and bounds of the replicated groups, the same on each daemon.
 *
 * @param electionMin least time without a leader before a voter campaigns
 * @param electionMax greatest such time; each wait is drawn between the two
 * @param heartbeat time between two signs of life of a leader
 * @param lease time for which a majority's answers let the leader act alone, counted from the
 *     sending of what they answer; must be less than {@code electionMin}
 * @param storageStallTimeout time after which a leader whose disk doesn't sync gives up its office
 * @param resendInterval time after which an unanswered submission is sent again
 * @param snapshotEntries applied entries after which a snapshot is taken
 * @param trailingEntries entries kept in memory behind a snapshot for replicas that lag a little
 * @param maxAppendEntries most entries in one message
 * @param maxAppendBytes most bytes of commands in one message, unless one command alone is larger
 * @param maxInFlightEntries most entries sent to a replica beyond what it acknowledged
 * @param maxChunkBytes most bytes of a snapshot in one message
 * @param maxUncommittedEntries most entries that wait for a commit; submissions beyond are refused
 * @param maxUncommittedBytes most bytes of commands that wait for a commit
 * @param maxPendingSubmissions most submissions of this daemon that wait for a result
 * @param maxRestartWait longest time for which a voter that has just started waits for a leader
 *     before it campaigns. Zero where a leader acts under its lease: a restarted voter doesn't know
 *     what it acknowledged, so its start then counts as contact and its votes wait for the lease's
 *     end
 */
public record RaftSettings(
    Duration electionMin,
    Duration electionMax,
    Duration heartbeat,
    Duration lease,
    Duration storageStallTimeout,
    Duration resendInterval,
    int snapshotEntries,
    int trailingEntries,
    int maxAppendEntries,
    int maxAppendBytes,
    int maxInFlightEntries,
    int maxChunkBytes,
    int maxUncommittedEntries,
    int maxUncommittedBytes,
    int maxPendingSubmissions,
    Duration maxRestartWait) {

  /**
   * Checks the times against each other.
   *
   * @throws IllegalArgumentException if two leaders could act at once or none could stay in office
   */
  public RaftSettings {
    if (lease.compareTo(electionMin) >= 0) {
      throw new IllegalArgumentException("raft: set lease below electionMin");
    }
    if (heartbeat.multipliedBy(2).compareTo(lease) > 0) {
      throw new IllegalArgumentException("raft: set heartbeat to at most half of lease");
    }
    if (electionMax.compareTo(electionMin) <= 0) {
      throw new IllegalArgumentException("raft: set electionMax above electionMin");
    }
  }

  /** Returns settings for daemons a millisecond apart. */
  public static RaftSettings defaults() {
    return new RaftSettings(
        Duration.ofMillis(300),
        Duration.ofMillis(600),
        Duration.ofMillis(80),
        Duration.ofMillis(250),
        Duration.ofSeconds(1),
        Duration.ofMillis(400),
        4096,
        512,
        256,
        256 * 1024,
        1024,
        64 * 1024,
        8192,
        16 * 1024 * 1024,
        16384,
        Duration.ZERO);
  }
}
