package org.skylarkfork.core.message;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.LogEntry;

/**
 * Messages between the replicas of a group, and between replicas and daemons that submit commands.
 */
public sealed interface RaftMessage extends PeerMessage {

  /** Returns the group that the message is for. */
  GroupId group();

  /**
   * Requests a vote; sent by a candidate or pre-candidate to the voters.
   *
   * @param group the group
   * @param term the candidate's term; for a pre-vote, the term in which it would campaign
   * @param lastIndex index of the candidate's last entry
   * @param lastTerm term of the candidate's last entry
   * @param preVote whether this is a pre-vote, which only determines whether the candidate could
   *     win
   * @param handover whether the campaign follows a leadership transfer, so that no leader lease
   *     prevents the vote
   */
  record VoteRequest(
      GroupId group, long term, long lastIndex, long lastTerm, boolean preVote, boolean handover)
      implements RaftMessage {}

  /**
   * Requests a voter to campaign at once; sent by a leader that has stepped down to transfer its
   * leadership.
   *
   * @param group the group
   * @param term the term in which the sender led
   */
  record CampaignNow(GroupId group, long term) implements RaftMessage {}

  /**
   * Answers a {@link VoteRequest}. A granted vote, unlike a pre-vote, is synced to the voter's disk
   * before this message is sent.
   *
   * @param group the group
   * @param term the requested term if granted, else the voter's own term
   * @param instance random number that identifies the voter's disk
   * @param granted whether the vote is granted
   * @param preVote whether the request was a pre-vote
   */
  record VoteResponse(GroupId group, long term, long instance, boolean granted, boolean preVote)
      implements RaftMessage {}

  /**
   * Replicates log entries from the leader to a replica; without entries, it is a heartbeat.
   *
   * @param group the group
   * @param term the leader's term
   * @param previousIndex index of the entry before the first one in {@code entries}
   * @param previousTerm term of that entry
   * @param entries entries from {@code previousIndex + 1} on, without gaps
   * @param commitIndex the leader's commit index
   * @param sentAt time of sending on the leader's clock, echoed in the response
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
   * Answers an {@link AppendRequest} or the last chunk of a snapshot.
   *
   * @param group the group
   * @param term the replica's term
   * @param instance random number that identifies the replica's disk
   * @param matched whether the replica's log contains the entry before the first one sent
   * @param index if matched, the last index up to which the replica's log agrees with the leader's
   *     and is synced; else an index at or before which the leader has to retry
   * @param sentAt {@code sentAt} of the request
   */
  record AppendResponse(
      GroupId group, long term, long instance, boolean matched, long index, Instant sentAt)
      implements RaftMessage {}

  /**
   * Carries one chunk of an encoded snapshot from the leader to a replica.
   *
   * @param group the group
   * @param term the leader's term
   * @param index last index that the snapshot covers
   * @param offset offset of the chunk's first byte in the encoded snapshot
   * @param length length of the whole encoded snapshot in bytes
   * @param data bytes of the chunk
   * @param sentAt time of sending on the leader's clock, echoed in the response
   */
  record SnapshotChunk(
      GroupId group, long term, long index, int offset, int length, byte[] data, Instant sentAt)
      implements RaftMessage {}

  /**
   * Acknowledges a chunk of a snapshot.
   *
   * @param group the group
   * @param term the replica's term
   * @param instance random number that identifies the replica's disk
   * @param index last index that the snapshot covers
   * @param offset number of bytes that the replica has received, which is the offset of the next
   *     chunk
   * @param sentAt {@code sentAt} of the chunk
   */
  record ChunkResponse(
      GroupId group, long term, long instance, long index, int offset, Instant sentAt)
      implements RaftMessage {}

  /**
   * Queries whether the disk of a voter named in the settings is empty too, before a group is
   * bootstrapped.
   *
   * @param group the group
   * @param instance random number that identifies the sender's disk
   */
  record FoundingRequest(GroupId group, long instance) implements RaftMessage {}

  /**
   * Answers a {@link FoundingRequest}.
   *
   * @param group the group
   * @param askedBy {@code instance} of the request
   * @param instance random number that identifies the answering replica's disk
   * @param empty whether the answering replica has neither seen a term nor stored an entry, and no
   *     damaged log of it was set aside
   */
  record FoundingResponse(GroupId group, long askedBy, long instance, boolean empty)
      implements RaftMessage {}

  /**
   * Reports to a group that the sending replica isn't a member and waits for its admission.
   *
   * @param group the group
   * @param instance random number that identifies the waiting replica's disk
   */
  record JoinRequest(GroupId group, long instance) implements RaftMessage {}

  /**
   * Answers a {@link JoinRequest} with the voters, one of which may lead the group.
   *
   * @param group the group
   * @param voters node names of the voters that the answering replica knows
   */
  record JoinResponse(GroupId group, List<String> voters) implements RaftMessage {

    /** Copies the list of voters. */
    public JoinResponse {
      voters = List.copyOf(voters);
    }
  }

  /**
   * Submits a command to the leader, which replicates and commits it.
   *
   * @param group the group
   * @param session number of the submitting process, by which answers to an earlier process of the
   *     same daemon are dropped
   * @param submissionId the submitter's number for the command; a resend has the same number
   * @param command the command
   */
  record SubmitRequest(GroupId group, long session, long submissionId, Command command)
      implements RaftMessage {}

  /**
   * Returns the result of a submitted command that was applied.
   *
   * @param group the group
   * @param session {@code session} of the request
   * @param submissionId {@code session} of the request
   * @param result result of applying the command
   */
  record SubmitAnswer(GroupId group, long session, long submissionId, CommandResult result)
      implements RaftMessage {}

  /**
   * Rejects a submitted command because the sender doesn't lead the group; it wasn't appended.
   *
   * @param group the group
   * @param session {@code session} of the request
   * @param submissionId {@code session} of the request
   * @param leader node name of the leader to submit to, or null if none is known
   */
  record SubmitRedirect(GroupId group, long session, long submissionId, @Nullable String leader)
      implements RaftMessage {}

  /**
   * Rejects a submitted command because the leader is overloaded; it wasn't appended.
   *
   * @param group the group
   * @param session {@code session} of the request
   * @param submissionId {@code session} of the request
   * @param remedy what the submitter can do, for people
   */
  record SubmitRefusal(GroupId group, long session, long submissionId, String remedy)
      implements RaftMessage {}
}
