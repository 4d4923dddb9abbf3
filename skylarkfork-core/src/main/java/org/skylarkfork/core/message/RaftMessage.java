package org.skylarkfork.core.message;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.LogEntry;

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
   * @param handover whether the leader gave up its office for this campaign, so that no lease
   *     stands against the vote
   */
  record VoteRequest(
      GroupId group, long term, long lastIndex, long lastTerm, boolean preVote, boolean handover)
      implements RaftMessage {}

  /**
   * Tells a voter to campaign at once, since the leader has given up its office.
   *
   * @param group the group
   * @param term the term that the leader led
   */
  record CampaignNow(GroupId group, long term) implements RaftMessage {}

  /**
   * Answers a request for a vote; a real vote is on the voter's disk before this is sent.
   *
   * @param group the group
   * @param term the term asked for if granted, else the voter's own term
   * @param instance number of the voter's disk
   * @param granted whether the candidate has the vote
   * @param preVote whether the request was a pre-vote
   */
  record VoteResponse(GroupId group, long term, long instance, boolean granted, boolean preVote)
      implements RaftMessage {}

  /**
   * Brings entries to a replica, or without entries shows that the leader is there.
   *
   * @param group the group
   * @param term the leader's term
   * @param previousIndex index of the entry before the first one sent
   * @param previousTerm term of that entry
   * @param entries entries from {@code previousIndex + 1} on, without gaps
   * @param commitIndex the leader's commit index
   * @param sentAt the leader's time, which the response repeats
   */
  record AppendRequest(
      GroupId group,
      long term,
      long previousIndex,
      long previousTerm,
      List<LogEntry> entries,
      long commitIndex,
      Instant sentAt)
      implements RaftMessage {

    /** Copies the entries. */
    public AppendRequest {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Answers entries, a heartbeat or a whole snapshot.
   *
   * @param group the group
   * @param term the replica's term
   * @param instance number of the replica's disk
   * @param matched whether the entry before the first one sent was found
   * @param index if matched, the last index known to agree with the leader's log and synced; else
   *     an index at or before which the leader is to try again
   * @param sentAt the time in the request
   */
  record AppendResponse(
      GroupId group, long term, long instance, boolean matched, long index, Instant sentAt)
      implements RaftMessage {}

  /**
   * Brings a part of an encoded snapshot.
   *
   * @param group the group
   * @param term the leader's term
   * @param index last index that the snapshot covers
   * @param offset position of the first byte sent
   * @param length length of the whole encoded snapshot in bytes
   * @param data the bytes
   * @param sentAt the leader's time, which the response repeats
   */
  record SnapshotChunk(
      GroupId group, long term, long index, int offset, int length, byte[] data, Instant sentAt)
      implements RaftMessage {}

  /**
   * Answers a part of a snapshot.
   *
   * @param group the group
   * @param term the replica's term
   * @param instance number of the replica's disk
   * @param index the snapshot's index
   * @param offset number of bytes the replica has, which is where the leader goes on
   * @param sentAt the time in the chunk
   */
  record ChunkResponse(
      GroupId group, long term, long instance, long index, int offset, Instant sentAt)
      implements RaftMessage {}

  /**
   * Asks a voter named in the settings whether its disk is empty too, before a group is founded.
   *
   * @param group the group
   * @param instance number of the asking disk
   */
  record FoundingRequest(GroupId group, long instance) implements RaftMessage {}

  /**
   * Answers whether a disk is empty.
   *
   * @param group the group
   * @param askedBy number of the disk that asked
   * @param instance number of the answering disk
   * @param empty whether the replica has neither seen a term nor stored an entry
   */
  record FoundingResponse(GroupId group, long askedBy, long instance, boolean empty)
      implements RaftMessage {}

  /**
   * Tells a group that a replica isn't among its members and waits to be taken in.
   *
   * @param group the group
   * @param instance number of the waiting disk
   */
  record JoinRequest(GroupId group, long instance) implements RaftMessage {}

  /**
   * Answers a replica that waits to be taken in: these may lead the group.
   *
   * @param group the group
   * @param voters node names of the voters that the answering replica knows
   */
  record JoinResponse(GroupId group, List<String> voters) implements RaftMessage {

    /** Copies the list. */
    public JoinResponse {
      voters = List.copyOf(voters);
    }
  }

  /**
   * Asks the leader to have a command agreed on.
   *
   * @param group the group
   * @param session number of the submitting process, so that an answer to an earlier one isn't
   *     taken for its own
   * @param submissionId the submitter's number for it; the same when it is sent again
   * @param command the command
   */
  record SubmitRequest(GroupId group, long session, long submissionId, Command command)
      implements RaftMessage {}

  /**
   * Gives the result of a submitted command.
   *
   * @param group the group
   * @param session the number in the request
   * @param submissionId the number in the request
   * @param result what applying it gave
   */
  record SubmitAnswer(GroupId group, long session, long submissionId, CommandResult result)
      implements RaftMessage {}

  /**
   * Says that a submitted command was not taken by this replica because it doesn't lead.
   *
   * @param group the group
   * @param session the number in the request
   * @param submissionId the number in the request
   * @param leader name of the daemon to ask, or null if none is known
   */
  record SubmitRedirect(GroupId group, long session, long submissionId, @Nullable String leader)
      implements RaftMessage {}

  /**
   * Says that the leader is too busy to take a submitted command; it wasn't appended.
   *
   * @param group the group
   * @param session the number in the request
   * @param submissionId the number in the request
   * @param remedy what the submitter can do
   */
  record SubmitRefusal(GroupId group, long session, long submissionId, String remedy)
      implements RaftMessage {}
}
