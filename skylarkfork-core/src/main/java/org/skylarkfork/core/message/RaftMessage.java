package org.skylarkfork.core.message;

import org.skylarkfork.core.command.GroupId;

/** Messages between the replicas of a group, and to them from daemons that submit commands. */
public sealed interface RaftMessage extends PeerMessage {

  /** Returns the group that the message is for. */
  GroupId group();

  /**
   * Asks for a vote.
   *
   * @param group the group
   * @param term the candidate's term, or the term it would take if {@code preVote}
   * @param lastIndex index of the candidate's last entry
   * @param lastTerm term of the candidate's last entry
   * @param preVote whether it only asks if it could win
   */
  record VoteRequest(GroupId group, long term, long lastIndex, long lastTerm, boolean preVote)
      implements RaftMessage {}
}
