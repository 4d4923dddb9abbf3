package org.skylarkfork.core.consensus;

/** Role of a replica in the Raft protocol. */
public enum Role {
  /** Accepts entries from a leader, or waits for the election timeout. */
  FOLLOWER,
  /** Runs a pre-vote: asks the voters whether it could win, without increasing its term. */
  PRE_CANDIDATE,
  /** Requests votes for its term. */
  CANDIDATE,
  /** Accepts commands and replicates the log to the other members. */
  LEADER
}
