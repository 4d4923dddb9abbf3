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

/** This daemon's replica of one group. */
final class RaftGroup {

  /** A leader starts no further write while this many wait, so that one sync serves many. */
  private static final int MAX_WRITES = 2;

  private final Replica replica;
  private final Election election;
  private final Replication replication;
  private final FollowerLog followerLog;
  private final SnapshotReceiver snapshotReceiver;
  private final Proposals proposals;
  private final MemberChanges memberChanges;
  private final Applier applier;
  private final Founding founding;
  private boolean recovered;
  private boolean stopping;

  RaftGroup(
      GroupSetup setup,
      StateMachine machine,
      String node,
      RaftSettings settings,
      GroupCodec codec,
      UniformRandomProvider random) {
    this.replica = new Replica(setup.group(), node, settings, codec, random);
    this.election = new Election(replica);
    this.replication = new Replication(replica, codec);
    this.followerLog = new FollowerLog(replica);
    this.snapshotReceiver = new SnapshotReceiver(replica, codec);
    this.proposals = new Proposals(replica);
    this.memberChanges = new MemberChanges(replica, replication, setup.membershipChangePolicy());
    this.applier = new Applier(replica, machine, proposals);
    this.founding = new Founding(replica, setup);
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
        snapshot == null ? 0 : snapshot.index(),
        replica.members.latest(),
        replica.members.latestIndex(),
        replica.instance(),
        replica.failed());
  }

  boolean holdsLease(Instant now) {
    return replica.leads() && replication.holdsLease(now);
  }

  Instant provenAt(Instant now) {
    return replica.leads() ? replication.provenAt(now) : Instant.EPOCH;
  }

  void onStorage(StorageEvent event, Turn turn) {
    if (event instanceof StorageEvent.Recovered stored) {
      recover(stored, turn);
    } else if (event instanceof StorageEvent.Persisted persisted) {
      replica.durability.persisted(persisted.sequence(), replica.term(), turn);
    } else if (event instanceof StorageEvent.SnapshotSaved saved) {
      snapshotSaved(saved.index(), turn);
    } else if (event instanceof StorageEvent.Failed) {
      stopLeading("disk_failed", turn);
      replica.fail(turn);
    }
    finish(turn);
  }

  private void recover(StorageEvent.Recovered stored, Turn turn) {
    Invariants.check(!recovered, "a group is recovered once");
    recovered = true;
    replica.recoverHardState(stored.hardState());
    Snapshot snapshot = stored.snapshot();
    if (snapshot != null) {
      replica.install(snapshot);
      applier.restore(snapshot, turn);
    }
    recoverEntries(stored);
    replica.started(turn.now());
  }

  /**
   * Takes over the stored entries behind the snapshot.
   *
   * <p>A crash after a leader's snapshot was saved, but before the entries that it contradicts were
   * dropped, leaves such entries behind it. They are of an earlier term than the snapshot's last
   * entry, which no true continuation is.
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

  private void snapshotSaved(long index, Turn turn) {
    applier.snapshotSaved(index);
    Snapshot installed = snapshotReceiver.saved(index);
    if (installed == null || installed.index() <= replica.commitIndex()) {
      return;
    }
    replica.install(installed);
    applier.restore(installed, turn);
    String leader = replica.leader();
    if (leader != null && !replica.leads()) {
      AppendResponse response =
          new AppendResponse(
              replica.group, replica.term(), replica.instance(), true, index, Instant.EPOCH);
      replica.durability.afterAll(leader, replica.term(), response, turn);
    }
  }

  /** Looks at deadlines. */
  void tick(Turn turn) {
    if (!ready()) {
      return;
    }
    if (replica.leads()) {
      stepDownIfUnfit(turn);
    }
    if (!stopping && !snapshotReceiver.saving()) {
      election.tick(turn);
    }
    founding.tick(turn);
    finish(turn);
  }

  private void stepDownIfUnfit(Turn turn) {
    Instant stall = turn.now().minus(replica.settings.storageStallTimeout());
    if (replication.lostMajority(turn.now())) {
      stepDown("majority_silent", turn);
    } else if (replica.durability.stalledSince(stall)) {
      stepDown("disk_stalled", turn);
    }
  }

  /** A replica speaks only once its instance is on its disk, and never after its disk failed. */
  private boolean ready() {
    return recovered && !replica.failed() && replica.durability.hardStateWasSynced();
  }

  void onMessage(String from, RaftMessage message, Turn turn) {
    if (message instanceof SubmitRequest request) {
      submit(from, request, turn);
    } else if (ready()) {
      dispatch(from, message, turn);
    }
    finish(turn);
  }

  private void dispatch(String from, RaftMessage message, Turn turn) {
    if (message instanceof AppendRequest request) {
      onAppend(from, request, turn);
    } else if (message instanceof AppendResponse response) {
      if (answersThisTerm(response.term(), turn)) {
        replication.onResponse(from, response, turn);
      }
    } else if (message instanceof VoteRequest request) {
      election.onRequest(from, request, turn);
    } else if (message instanceof VoteResponse response) {
      onVoteResponse(from, response, turn);
    } else if (message instanceof SnapshotChunk chunk) {
      if (acceptLeader(from, chunk.term(), turn)) {
        snapshotReceiver.onChunk(from, chunk, turn);
      }
    } else if (message instanceof ChunkResponse response) {
      if (answersThisTerm(response.term(), turn)) {
        replication.onChunkResponse(from, response, turn);
      }
    } else if (message instanceof FoundingRequest request) {
      founding.onRequest(from, request, turn);
    } else if (message instanceof FoundingResponse response) {
      founding.onResponse(from, response, turn);
    } else if (message instanceof CampaignNow handover) {
      onCampaignNow(from, handover, turn);
    } else if (message instanceof JoinRequest request) {
      onJoin(from, request, turn);
    } else if (message instanceof JoinResponse response) {
      founding.onJoinResponse(response);
    }
  }

  /**
   * Takes the answer of a voter, which may come after this replica has won.
   *
   * <p>A leader that is deposed by one must let go of its submissions: another leader's entries
   * come to stand where its own stood, and each submitter would be told that its command was
   * applied.
   */
  private void onVoteResponse(String from, VoteResponse response, Turn turn) {
    if (!response.granted() && response.term() > replica.term()) {
      stopLeading("newer_term", turn);
    }
    election.onResponse(from, response, turn);
  }

  private void onCampaignNow(String from, CampaignNow handover, Turn turn) {
    boolean current = handover.term() == replica.term() && from.equals(replica.leader());
    if (current && replica.votes() && !stopping && !snapshotReceiver.saving()) {
      election.takeOver(turn);
    }
  }

  private void onJoin(String from, JoinRequest request, Turn turn) {
    if (replica.leads()) {
      memberChanges.joining(from, request.instance(), turn.now());
    } else {
      founding.onJoinRequest(from, turn);
    }
  }

  private void onAppend(String from, AppendRequest request, Turn turn) {
    if (!acceptLeader(from, request.term(), turn)) {
      followerLog.refuse(from, request, 0, turn);
    } else if (snapshotReceiver.saving()) {
      followerLog.refuse(from, request, replica.commitIndex(), turn);
    } else {
      followerLog.onAppend(from, request, turn);
    }
  }

  /** Follows the sender unless its term is over. */
  private boolean acceptLeader(String from, long term, Turn turn) {
    if (term < replica.term()) {
      return false;
    }
    Invariants.check(!replica.leads() || term > replica.term(), "one leader in a term");
    if (term > replica.term()) {
      stopLeading("newer_term", turn);
      replica.adoptTerm(term);
    }
    replica.become(Role.FOLLOWER, from, turn);
    replica.contact(turn.now());
    return true;
  }

  private boolean answersThisTerm(long term, Turn turn) {
    if (term > replica.term()) {
      stopLeading("newer_term", turn);
      replica.adoptTerm(term);
      replica.become(Role.FOLLOWER, null, turn);
      return false;
    }
    return term == replica.term() && replica.leads();
  }

  private void stopLeading(String why, Turn turn) {
    if (replica.leads()) {
      stepDown(why, turn);
    }
  }

  private void stepDown(String why, Turn turn) {
    String facts = "why=" + why + " term=" + replica.term() + " commit=" + replica.commitIndex();
    turn.log(replica.group, "stepped_down", facts + " last=" + replica.log.lastIndex());
    replica.become(Role.FOLLOWER, null, turn);
    replica.drawElectionDeadline(turn.now());
    proposals.stop(turn);
    replication.stop();
  }

  /** Hands the office over before the daemon stops, so that callers needn't wait an election. */
  void prepareStop(Turn turn) {
    stopping = true;
    if (!replica.leads()) {
      return;
    }
    String successor = replication.successor();
    stepDown("stopping", turn);
    if (successor != null) {
      turn.send(successor, new CampaignNow(replica.group, replica.term()));
    }
    finish(turn);
  }

  private void lead(Turn turn) {
    replica.become(Role.LEADER, replica.node, turn);
    replica.append(new GroupCommand.NoOperation(), turn.now());
    replication.start(turn);
    memberChanges.start();
  }

  private void submit(String from, SubmitRequest request, Turn turn) {
    if (!replica.leads()) {
      turn.send(
          from,
          new SubmitRedirect(
              replica.group, request.session(), request.submissionId(), replica.leader()));
      return;
    }
    if (proposals.isWaiting(from, request)) {
      return;
    }
    String refusal = proposals.refusal();
    if (refusal != null) {
      turn.send(
          from,
          new SubmitRefusal(replica.group, request.session(), request.submissionId(), refusal));
      return;
    }
    String rejection = rejection(request.command());
    if (rejection != null) {
      CommandResult rejected = new CommandResult.Rejected(rejection);
      turn.send(
          from,
          new SubmitAnswer(replica.group, request.session(), request.submissionId(), rejected));
      return;
    }
    LogEntry entry = append(logged(request.command()), turn);
    proposals.appended(from, request, entry.index());
  }

  private @Nullable String rejection(Command command) {
    if (command instanceof GroupCommand.AdmitMember admit) {
      return memberChanges.refusalToAdmit(admit.node());
    }
    if (command instanceof GroupCommand.RemoveMember remove) {
      return memberChanges.refusalToRemove(remove.node());
    }
    if (command instanceof GroupCommand && !(command instanceof GroupCommand.Probe)) {
      return "raft: only a leader makes this command; submit AdmitMember or RemoveMember";
    }
    return null;
  }

  private Command logged(Command command) {
    if (command instanceof GroupCommand.AdmitMember admit) {
      return memberChanges.admit(admit.node());
    }
    if (command instanceof GroupCommand.RemoveMember remove) {
      return memberChanges.remove(remove.node());
    }
    return command;
  }

  private LogEntry append(Command command, Turn turn) {
    LogEntry entry = replica.append(command, turn.now());
    if (command instanceof GroupCommand.ChangeMembers) {
      replication.membersChanged();
    }
    return entry;
  }

  /** Draws the consequences of an event: leadership, commits, results, writes and messages. */
  private void finish(Turn turn) {
    if (!recovered || replica.failed()) {
      return;
    }
    if (election.won()) {
      lead(turn);
    }
    if (replica.leads()) {
      replication.advanceCommit();
    }
    applier.applyCommitted(turn);
    if (replica.leads()) {
      changeMembers(turn);
    }
    flush(turn);
    if (replica.leads()) {
      replication.replicate(turn);
    }
  }

  private void changeMembers(Turn turn) {
    boolean settled = replica.members.latestIndex() <= replica.commitIndex();
    if (settled && !replica.votes()) {
      stepDown("no_voter", turn);
      return;
    }
    GroupCommand.ChangeMembers change = memberChanges.next(turn);
    if (change != null) {
      LogEntry entry = append(change, turn);
      String facts = "index=" + entry.index() + " " + change.members().describe();
      turn.log(replica.group, "members_proposed", facts);
    }
  }

  private void flush(Turn turn) {
    Durability durability = replica.durability;
    boolean batching = replica.leads() && durability.writesInFlight() >= MAX_WRITES;
    if (!batching || durability.hasStagedHardState()) {
      durability.flush(turn);
    }
  }

  @Override
  public String toString() {
    return replica.node + " " + Objects.toString(status());
  }
}
