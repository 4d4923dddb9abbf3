package org.skylarkfork.core.consensus;

import java.time.Duration;

/**
 * Timeouts of the replicated groups, the same on each daemon.
 *
 * @param electionMin minimum election timeout: time without contact to a leader before a voter
 *     campaigns
 * @param electionMax maximum election timeout; each timeout is drawn at random between {@code
 *     electionMin} and this value
 * @param heartbeat interval between a leader's heartbeats
 * @param lease duration of the leader lease, counted from the sending of the messages that a
 *     majority answered; must be less than {@code electionMin}
 * @param majorityTimeout time without an answer from a majority after which a leader steps down,
 *     counted from the arrival of the last answers and without gaps between ticks that are longer
 *     than a heartbeat; at least {@code lease}
 * @param storageStallTimeout time after which a leader whose disk doesn't complete a sync steps
 *     down
 * @param resendInterval time after which an unanswered submission is resent
 * @param maxRestartWait maximum time that a voter waits for a leader after a start before it
 *     campaigns. Must be zero where leaders rely on their lease: a restarted voter doesn't know
 *     what it acknowledged, so with zero its start counts as contact to a leader and it grants no
 *     vote until the lease has expired
 */
public record RaftTimeouts(
    Duration electionMin,
    Duration electionMax,
    Duration heartbeat,
    Duration lease,
    Duration majorityTimeout,
    Duration storageStallTimeout,
    Duration resendInterval,
    Duration maxRestartWait) {

  /** Default timeouts, for about one millisecond of network latency between daemons. */
  public static final RaftTimeouts DEFAULT =
      new RaftTimeouts(
          Duration.ofMillis(300),
          Duration.ofMillis(600),
          Duration.ofMillis(80),
          Duration.ofMillis(250),
          Duration.ofMillis(250),
          Duration.ofSeconds(1),
          Duration.ofMillis(400),
          Duration.ZERO);

  /**
   * Validates the timeouts against each other.
   *
   * @throws IllegalArgumentException if two leaders could hold a lease at once or no leader could
   *     keep its lease
   */
  public RaftTimeouts {
    if (lease.compareTo(electionMin) >= 0) {
      throw new IllegalArgumentException("raft: set lease below electionMin");
    }
    if (heartbeat.multipliedBy(2).compareTo(lease) > 0) {
      throw new IllegalArgumentException("raft: set heartbeat to at most half of lease");
    }
    if (majorityTimeout.compareTo(lease) < 0) {
      throw new IllegalArgumentException("raft: set majorityTimeout to at least lease");
    }
    if (electionMax.compareTo(electionMin) <= 0) {
      throw new IllegalArgumentException("raft: set electionMax above electionMin");
    }
  }

  /** Returns the same timeouts, except for the wait of a voter after its start. */
  public RaftTimeouts withMaxRestartWait(Duration changed) {
    return new RaftTimeouts(
        electionMin,
        electionMax,
        heartbeat,
        lease,
        majorityTimeout,
        storageStallTimeout,
        resendInterval,
        changed);
  }
}
