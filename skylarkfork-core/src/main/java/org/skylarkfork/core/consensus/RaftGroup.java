package org.skylarkfork.core.consensus;

import java.time.Instant;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.core.command.StateMachine;
import org.skylarkfork.core.event.StorageEvent;
import org.skylarkfork.core.message.RaftMessage;
import org.skylarkfork.core.message.RaftMessage.AppendRequest;
import org.skylarkfork.core.message.RaftMessage.AppendResponse;
import org.skylarkfork.core.message.RaftMessage.CampaignNow;
import org.skylarkfork.core.message.RaftMessage.ChunkResponse;
import org.skylarkfork.core.message.RaftMessage.FoundingRequest;
import org.skylarkfork.core.message.RaftMessage.FoundingResponse;
import org.skylarkfork.core.message.RaftMessage.JoinRequest;
import org.skylarkfork.core.message.RaftMessage.JoinResponse;
import org.skylarkfork.core.message.RaftMessage.SnapshotChunk;
import org.skylarkfork.core.message.RaftMessage.SubmitAnswer;
import org.skylarkfork.core.message.RaftMessage.SubmitRedirect;
import org.skylarkfork.core.message.RaftMessage.SubmitRefusal;
import org.skylarkfork.core.message.RaftMessage.SubmitRequest;
import org.skylarkfork.core.message.RaftMessage.VoteRequest;
import org.skylarkfork.core.message.RaftMessage.VoteResponse;

/** This daemon's replica of one Raft group; dispatches events to the components of the replica. */
final class RaftGroup {

  /** Maximum number of a leader's concurrent writes; later entries are batched into one sync. */
  private static final int MAX_WRITES = 2;

  private final Replica replica;
  private final Election election;
  private final Replication replication;
  private final FollowerLog followerLog;
  private final SnapshotReceiver snapshotReceiver;
  private final Proposals proposals;
  private final MemberChanges memberChanges;
  private final Applier applier;
  private final GroupBootstrap bootstrap;
  private boolean recovered;
  private boolean stopping;

  RaftGroup(
      GroupSetup setup,
      StateMachine machine,
      String node,
      RaftSettings settings,
      GroupCodec codec,
      ActiveTime activeTime,
      UniformRandomProvider random) {
    this.replica = new Replica(setup.group(), node, settings, codec, activeTime, random);
    this.election = new Election(replica);
    this.replication = new Replication(replica, codec);
    this.followerLog = new FollowerLog(replica);
    this.snapshotReceiver = new SnapshotReceiver(replica, codec);
    this.proposals = new Proposals(replica);
    this.memberChanges = new MemberChanges(replica, replication, setup.membershipChangePolicy());
    this.applier = new Applier(replica, machine, proposals);
    this.bootstrap = new GroupBootstrap(replica, setup);
  }

  GroupId group() {
    return replica.group;
  }

  GroupStatus status() {
    Snapshot snapshot = replica.snapshot();
    return new GroupStatus(
        replica.group,
        replica.role(),
        replica.term(),
        replica.leader(),
        replica.commitIndex(),
        replica.log.lastIndex(),
        replica.durability.syncedIndex(),
        replica.log.bytes(),
        snapshot == null ? 0 : snapshot.index(),
        replica.members.latest(),
        replica.members.latestIndex(),
        replica.instance(),
        replica.failed());
  }

  boolean holdsLease(Instant now) {
    return replica.isLeader() && replication.holdsLease(now);
  }

  Instant leadershipConfirmedAt(Instant now) {
    return replica.isLeader() ? replication.leadershipConfirmedAt(now) : Instant.EPOCH;
  }

  void onStorage(StorageEvent event, EventContext context) {
    if (event instanceof StorageEvent.LogSetAside) {
      replica.markLogSetAside();
    } else if (event instanceof StorageEvent.Recovered stored) {
      recover(stored, context);
    } else if (event instanceof StorageEvent.Persisted persisted) {
      replica.durability.persisted(persisted.sequence(), replica.term(), context);
    } else if (event instanceof StorageEvent.SnapshotSaved saved) {
      snapshotSaved(saved.index(), context);
    } else if (event instanceof StorageEvent.Failed) {
      stepDownIfLeader("disk_failed", context);
      replica.fail(context);
    }
    processUpdates(context);
  }

  private void recover(StorageEvent.Recovered stored, EventContext context) {
    Invariants.check(!recovered, "a group is recovered once");
    recovered = true;
    replica.recoverHardState(stored.hardState());
    Snapshot snapshot = stored.snapshot();
    if (snapshot != null) {
      replica.install(snapshot);
      applier.restore(snapshot, context);
    }
    recoverEntries(stored);
    replica.startElectionTimer(context.now());
  }

  /**
   * Restores the stored entries that follow the snapshot.
   *
   * <p>A crash after a leader's snapshot was saved, but before the entries that conflict with it
   * were truncated, leaves conflicting entries after it. Their term is lower than that of the
   * snapshot's last entry, which is impossible for entries that continue the snapshot.
   */
  private void recoverEntries(StorageEvent.Recovered stored) {
    long last = replica.log.lastIndex();
    for (LogEntry entry : stored.entries()) {
      last = Math.max(last, entry.index());
    }
    replica.durability.recovered(last, stored.hardState() != null);
    for (LogEntry entry : stored.entries()) {
      if (entry.index() <= replica.log.lastIndex()) {
        continue;
      }
      if (entry.term() < replica.log.lastTerm()) {
        replica.durability.truncateFrom(entry.index());
        break;
      }
      replica.append(entry);
    }
  }

  private void snapshotSaved(long index, EventContext context) {
    applier.snapshotSaved(index);
    Snapshot installed = snapshotReceiver.saved(index);
    if (installed == null || installed.index() <= replica.commitIndex()) {
      return;
    }
    replica.install(installed);
    applier.restore(installed, context);
    String leader = replica.leader();
    if (leader != null && !replica.isLeader()) {
      AppendResponse response =
          new AppendResponse(
              replica.group, replica.term(), replica.instance(), true, index, Instant.EPOCH);
      replica.durability.sendAfterAll(leader, replica.term(), response, context);
    }
  }

  /** Checks election, lease, storage and bootstrap deadlines. */
  void tick(EventContext context) {
    if (replica.activeTime.isLate()) {
      context.log(replica.group, "late_tick", "gap_ms=" + replica.activeTime.gap().toMillis());
    }
    if (!canParticipate()) {
      return;
    }
    if (replica.isLeader()) {
      stepDownIfUnfit(context);
    }
    if (!stopping && !snapshotReceiver.saving()) {
      election.tick(context);
    }
    bootstrap.tick(context);
    processUpdates(context);
  }

  private void stepDownIfUnfit(EventContext context) {
    if (replication.lostMajorityContact()) {
      stepDown("majority_silent", context);
    } else if (replica.durability.isStalled()) {
      stepDown("disk_stalled", context);
    }
  }

  /**
   * Returns whether the replica may handle messages: its instance id is on disk and the disk hasn't
   * failed.
   */
  private boolean canParticipate() {
    return recovered && !replica.failed() && replica.durability.isHardStateStored();
  }

  void onMessage(String from, RaftMessage message, EventContext context) {
    if (message instanceof SubmitRequest request) {
      submit(from, request, context);
    } else if (canParticipate()) {
      dispatch(from, message, context);
    }
    processUpdates(context);
  }

  private void dispatch(String from, RaftMessage message, EventContext context) {
    if (message instanceof AppendRequest request) {
      onAppend(from, request, context);
    } else if (message instanceof AppendResponse response) {
      if (isCurrentTermResponse(response.term(), context)) {
        replication.onResponse(from, response, context);
      }
    } else if (message instanceof VoteRequest request) {
      election.onRequest(from, request, context);
    } else if (message instanceof VoteResponse response) {
      onVoteResponse(from, response, context);
    } else if (message instanceof SnapshotChunk chunk) {
      if (acceptLeader(from, chunk.term(), context)) {
        snapshotReceiver.onChunk(from, chunk, context);
      }
    } else if (message instanceof ChunkResponse response) {
      if (isCurrentTermResponse(response.term(), context)) {
        replication.onChunkResponse(from, response, context);
      }
    } else if (message instanceof FoundingRequest request) {
      bootstrap.onRequest(from, request, context);
    } else if (message instanceof FoundingResponse response) {
      bootstrap.onResponse(from, response, context);
    } else if (message instanceof CampaignNow transfer) {
      onCampaignNow(from, transfer, context);
    } else if (message instanceof JoinRequest request) {
      onJoin(from, request, context);
    } else if (message instanceof JoinResponse response) {
      bootstrap.onJoinResponse(response);
    }
  }

  /**
   * Handles a vote response, which may arrive after this replica has won the election.
   *
   * <p>A leader that steps down because of a vote response must drop its pending submissions:
   * another leader's entries may replace its own at the same indexes, and each submitter would
   * receive a result for a command that was not applied.
   */
  private void onVoteResponse(String from, VoteResponse response, EventContext context) {
    if (!response.granted() && response.term() > replica.term()) {
      stepDownIfLeader("newer_term", context);
    }
    election.onResponse(from, response, context);
  }

  private void onCampaignNow(String from, CampaignNow transfer, EventContext context) {
    boolean current = transfer.term() == replica.term() && from.equals(replica.leader());
    if (current && replica.isVoter() && !stopping && !snapshotReceiver.saving()) {
      election.campaignOnTransfer(context);
    }
  }

  private void onJoin(String from, JoinRequest request, EventContext context) {
    if (replica.isLeader()) {
      memberChanges.recordJoinRequest(from, request.instance(), context.now());
    } else {
      bootstrap.onJoinRequest(from, context);
    }
  }

  private void onAppend(String from, AppendRequest request, EventContext context) {
    if (!acceptLeader(from, request.term(), context)) {
      followerLog.reject(from, request, 0, context);
    } else if (snapshotReceiver.saving()) {
      followerLog.reject(from, request, replica.commitIndex(), context);
    } else {
      followerLog.onAppend(from, request, context);
    }
  }

  /**
   * Accepts the sender as leader and returns true, or returns false if the sender's term is
   * outdated.
   */
  private boolean acceptLeader(String from, long term, EventContext context) {
    if (term < replica.term()) {
      return false;
    }
    Invariants.check(!replica.isLeader() || term > replica.term(), "one leader in a term");
    if (term > replica.term()) {
      stepDownIfLeader("newer_term", context);
      replica.adoptTerm(term);
    }
    replica.become(Role.FOLLOWER, from, context);
    replica.recordLeaderContact(context.now());
    return true;
  }

  private boolean isCurrentTermResponse(long term, EventContext context) {
    if (term > replica.term()) {
      stepDownIfLeader("newer_term", context);
      replica.adoptTerm(term);
      replica.become(Role.FOLLOWER, null, context);
      return false;
    }
    return term == replica.term() && replica.isLeader();
  }

  private void stepDownIfLeader(String reason, EventContext context) {
    if (replica.isLeader()) {
      stepDown(reason, context);
    }
  }

  private void stepDown(String reason, EventContext context) {
    String facts = "why=" + reason + " term=" + replica.term() + " commit=" + replica.commitIndex();
    facts += " last=" + replica.log.lastIndex() + " " + replication.describe(context.now());
    context.log(replica.group, "stepped_down", facts);
    replica.become(Role.FOLLOWER, null, context);
    replica.resetElectionDeadline(context.now());
    proposals.redirectAll(context);
    replication.stop();
  }

  /**
   * Transfers leadership before the daemon stops, so that callers don't wait for an election
   * timeout.
   */
  void prepareStop(EventContext context) {
    stopping = true;
    if (replica.role() == Role.PRE_CANDIDATE) {
      replica.become(Role.FOLLOWER, null, context);
    }
    if (!replica.isLeader()) {
      return;
    }
    String transferTarget = replication.transferTarget();
    stepDown("stopping", context);
    if (transferTarget != null) {
      context.send(transferTarget, new CampaignNow(replica.group, replica.term()));
    }
    processUpdates(context);
  }

  private void becomeLeader(EventContext context) {
    replica.become(Role.LEADER, replica.node, context);
    replica.append(new GroupCommand.NoOperation(), context.now());
    replication.start(context);
    memberChanges.start();
  }

  private void submit(String from, SubmitRequest request, EventContext context) {
    if (!replica.isLeader()) {
      context.send(
          from,
          new SubmitRedirect(
              replica.group, request.session(), request.submissionId(), replica.leader()));
      return;
    }
    if (proposals.isPending(from, request)) {
      return;
    }
    String refusal = proposals.overloadReason();
    if (refusal != null) {
      context.send(
          from,
          new SubmitRefusal(replica.group, request.session(), request.submissionId(), refusal));
      return;
    }
    String rejection = rejectionReason(request.command());
    if (rejection != null) {
      CommandResult rejected = new CommandResult.Rejected(rejection);
      context.send(
          from,
          new SubmitAnswer(replica.group, request.session(), request.submissionId(), rejected));
      return;
    }
    LogEntry entry = append(toLogCommand(request.command()), context);
    proposals.appended(from, request, entry.index());
  }

  private @Nullable String rejectionReason(Command command) {
    if (command instanceof GroupCommand.AdmitMember admit) {
      return memberChanges.admitRejectionReason(admit.node());
    }
    if (command instanceof GroupCommand.RemoveMember remove) {
      return memberChanges.removeRejectionReason(remove.node());
    }
    if (command instanceof GroupCommand && !(command instanceof GroupCommand.Probe)) {
      return "raft: only a leader makes this command; submit AdmitMember or RemoveMember";
    }
    return null;
  }

  private Command toLogCommand(Command command) {
    if (command instanceof GroupCommand.AdmitMember admit) {
      return memberChanges.admit(admit.node());
    }
    if (command instanceof GroupCommand.RemoveMember remove) {
      return memberChanges.remove(remove.node());
    }
    return command;
  }

  private LogEntry append(Command command, EventContext context) {
    LogEntry entry = replica.append(command, context.now());
    if (command instanceof GroupCommand.ChangeMembers) {
      replication.membersChanged();
    }
    return entry;
  }

  /** Processes what an event made possible: leadership, commits, results, writes and messages. */
  private void processUpdates(EventContext context) {
    if (!recovered || replica.failed()) {
      return;
    }
    if (election.hasWon()) {
      becomeLeader(context);
    }
    if (replica.isLeader()) {
      replication.advanceCommit();
    }
    applier.applyCommitted(context);
    if (replica.isLeader()) {
      changeMembers(context);
    }
    flush(context);
    if (replica.isLeader()) {
      replication.replicate(context);
    }
  }

  private void changeMembers(EventContext context) {
    boolean settled = replica.members.latestIndex() <= replica.commitIndex();
    if (settled && !replica.isVoter()) {
      stepDown("no_voter", context);
      return;
    }
    GroupCommand.ChangeMembers change = memberChanges.nextChange(context);
    if (change != null) {
      LogEntry entry = append(change, context);
      String facts = "index=" + entry.index() + " " + change.members().describe();
      context.log(replica.group, "members_proposed", facts);
    }
  }

  private void flush(EventContext context) {
    Durability durability = replica.durability;
    boolean batching = replica.isLeader() && durability.writesInFlight() >= MAX_WRITES;
    if (!batching || durability.hasStagedHardState()) {
      durability.flush(context);
    }
  }

  @Override
  public String toString() {
    return replica.node + " " + Objects.toString(status());
  }
}
