package org.skylarkfork.core.consensus;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.command.Members;
import org.skylarkfork.core.message.RaftMessage.VoteRequest;
import org.skylarkfork.core.message.RaftMessage.VoteResponse;

/** Leader election: requests, grants and counts pre-votes and votes. */
final class Election {

  private final Replica replica;
  private final Set<String> grants = new HashSet<>();
  private Instant preVoteStartedAt = Instant.EPOCH;

  Election(Replica replica) {
    this.replica = replica;
  }

  /** Starts a pre-vote once the election timeout has elapsed without contact to a leader. */
  void tick(EventContext context) {
    if (replica.isLeader() || !replica.isVoter() || !replica.electionDue(context.now())) {
      return;
    }
    if (replica.durability.isStalled() || elapsedInGap(context.now())) {
      return;
    }
    startPreVote(context);
  }

  /**
   * Returns whether the election timeout of a follower elapsed since its previous tick, and this
   * tick is late.
   *
   * <p>The leader's messages may have arrived while this daemon did not run, and are read only
   * after this tick. The next tick starts the pre-vote unless one of them was read by then.
   */
  private boolean elapsedInGap(Instant now) {
    Instant previousTick = now.minus(replica.activeTime.gap());
    return replica.leader() != null
        && replica.activeTime.isLate()
        && !replica.electionDue(previousTick);
  }

  /**
   * Asks the voters whether a campaign could win, without increasing the term.
   *
   * <p>Without the pre-vote, a voter that was partitioned for a while would return with a higher
   * term and force a working leader to step down, which interrupts service for all callers.
   */
  private void startPreVote(EventContext context) {
    String facts = "term=" + replica.term() + " silent_ms=" + replica.silentMillis(context.now());
    context.log(replica.group, "pre_vote", facts);
    preVoteStartedAt = context.now();
    replica.become(Role.PRE_CANDIDATE, null, context);
    replica.resetElectionDeadline(context.now());
    grants.clear();
    grants.add(replica.node);
    if (hasMajority()) {
      campaign(false, context);
      return;
    }
    VoteRequest request = request(replica.term() + 1, true, false);
    for (Member voter : replica.members.latest().voters()) {
      if (!voter.node().equals(replica.node)) {
        context.send(voter.node(), request);
      }
    }
  }

  /** Campaigns at the leader's request, without waiting for the leader's lease to expire. */
  void campaignOnTransfer(EventContext context) {
    campaign(true, context);
  }

  private void campaign(boolean handover, EventContext context) {
    replica.adoptTerm(replica.term() + 1);
    replica.voteFor(replica.node);
    replica.become(Role.CANDIDATE, null, context);
    replica.resetElectionDeadline(context.now());
    grants.clear();
    VoteRequest request = request(replica.term(), false, handover);
    for (Member voter : replica.members.latest().voters()) {
      if (!voter.node().equals(replica.node)) {
        replica.durability.sendAfterHardState(voter.node(), replica.term(), request, context);
      }
    }
  }

  private VoteRequest request(long term, boolean preVote, boolean handover) {
    RaftLog log = replica.log;
    return new VoteRequest(replica.group, term, log.lastIndex(), log.lastTerm(), preVote, handover);
  }

  /** Returns whether a majority has granted its vote; the own vote counts once it is synced. */
  boolean hasWon() {
    if (replica.role() != Role.CANDIDATE) {
      return false;
    }
    if (replica.durability.isHardStateSynced()) {
      grants.add(replica.node);
    }
    return hasMajority();
  }

  private boolean hasMajority() {
    Members members = replica.members.latest();
    int count = 0;
    for (Member voter : members.voters()) {
      if (grants.contains(voter.node())) {
        count++;
      }
    }
    return count >= members.quorum();
  }

  void onRequest(String from, VoteRequest request, EventContext context) {
    boolean newerTerm = request.term() > replica.term();
    boolean leaseReleased = request.handover() && !replica.isLeader();
    if (newerTerm && !leaseReleased && replica.leaseMayBeActive(context.now())) {
      respond(from, request, false, context);
      return;
    }
    if (request.preVote()) {
      onPreVoteRequest(from, request, newerTerm, context);
      return;
    }
    if (newerTerm) {
      replica.adoptTerm(request.term());
      replica.become(Role.FOLLOWER, null, context);
    }
    boolean voteAvailable = replica.votedFor() == null || from.equals(replica.votedFor());
    boolean granted = request.term() == replica.term() && voteAvailable && upToDate(request);
    if (granted) {
      replica.voteFor(from);
      replica.resetElectionDeadline(context.now());
    }
    respond(from, request, granted, context);
  }

  private void onPreVoteRequest(
      String from, VoteRequest request, boolean newerTerm, EventContext context) {
    boolean upToDate = upToDate(request);
    if (newerTerm && upToDate && precedes(from, request, context.now())) {
      respond(from, request, false, context);
      context.send(from, request(replica.term() + 1, true, false));
      return;
    }
    respond(from, request, newerTerm && upToDate, context);
    if (newerTerm && !upToDate) {
      // The sender can't win because its log is behind this voter's log, so this voter campaigns
      // at once.
      replica.expireElectionDeadline(context.now());
    } else if (newerTerm) {
      if (replica.role() == Role.PRE_CANDIDATE) {
        replica.become(Role.FOLLOWER, null, context);
      }
      replica.deferCampaign(context.now());
    }
  }

  /**
   * Returns whether this voter is to campaign rather than the sender of a pre-vote request.
   *
   * <p>After a restart of all voters several of them ask for pre-votes at the same time. If each
   * grants the others', all campaign in the same term and split the votes, and the next attempt
   * starts only after another election timeout. With equal logs and terms the voter whose name is
   * first in alphabetical order campaigns; it asks the other again, whose answer or whose earlier
   * request may have been lost. It does so for one heartbeat only: a voter that can't reach a
   * majority stays a pre-candidate, and would otherwise block one that can.
   */
  private boolean precedes(String from, VoteRequest request, Instant now) {
    RaftLog log = replica.log;
    boolean sameLog =
        request.lastTerm() == log.lastTerm() && request.lastIndex() == log.lastIndex();
    boolean sameTerm = request.term() == replica.term() + 1;
    boolean isRecent = now.isBefore(preVoteStartedAt.plus(replica.settings.timeouts().heartbeat()));
    return replica.role() == Role.PRE_CANDIDATE
        && replica.isVoter()
        && isRecent
        && sameTerm
        && sameLog
        && replica.node.compareTo(from) < 0;
  }

  private boolean upToDate(VoteRequest request) {
    RaftLog log = replica.log;
    if (request.lastTerm() != log.lastTerm()) {
      return request.lastTerm() > log.lastTerm();
    }
    return request.lastIndex() >= log.lastIndex();
  }

  private void respond(String from, VoteRequest request, boolean granted, EventContext context) {
    long term = granted ? request.term() : replica.term();
    VoteResponse response =
        new VoteResponse(replica.group, term, replica.instance(), granted, request.preVote());
    replica.durability.sendAfterHardState(from, replica.term(), response, context);
  }

  /** Counts a vote, unless it comes from a disk other than the voter's registered one. */
  void onResponse(String from, VoteResponse response, EventContext context) {
    if (!response.granted() && response.term() > replica.term()) {
      replica.adoptTerm(response.term());
      replica.become(Role.FOLLOWER, null, context);
      return;
    }
    if (!response.granted() || !replica.members.latest().votes(member(from, response))) {
      return;
    }
    if (response.preVote() && replica.role() == Role.PRE_CANDIDATE) {
      if (response.term() == replica.term() + 1) {
        grants.add(from);
      }
      if (hasMajority()) {
        campaign(false, context);
      }
    } else if (!response.preVote() && response.term() == replica.term()) {
      grants.add(from);
    }
  }

  private static Member member(String from, VoteResponse response) {
    return new Member(from, response.instance());
  }
}
