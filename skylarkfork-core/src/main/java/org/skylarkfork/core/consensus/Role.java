package org.skylarkfork.core.consensus;

/** What a replica does at present. */
public enum Role {
  /** Follows a leader or waits for one. */
  FOLLOWER,
  /** Asks the voters if it could win, without disturbing a leader. */
  PRE_CANDIDATE,
  /** Asks the voters for their votes. */
  CANDIDATE,
  /** Leads the group. */
  LEADER
}
