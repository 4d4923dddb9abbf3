package org.skylarkfork.core.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.command.Members;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.core.event.ConsensusEvent;

/** What the parts of one replica share: term, role, log and members. */
final class Replica {

  final GroupId group;
  final String node;
  final RaftSettings settings;
  final UniformRandomProvider random;
  final RaftLog log;
  final MembersHistory members = new MembersHistory();
  final Durability durability;

  private long instance;
  private long term;
  private @Nullable String votedFor;
  private @Nullable String leader;
  private @Nullable String currentTermLeader;
  private long announcedTerm;
  private Role role = Role.FOLLOWER;
  private long commitIndex;
  private boolean failed;
  private @Nullable Snapshot snapshot;
  private Instant lastContact = Instant.EPOCH;
  private Instant electionDeadline = Instant.EPOCH;

  Replica(
      GroupId group,
      String node,
      RaftSettings settings,
      GroupCodec codec,
      UniformRandomProvider random) {
    this.group = group;
    this.node = node;
    this.settings = settings;
    this.random = random;
    this.log = new RaftLog(codec);
    this.durability = new Durability(group, log);
  }

  long instance() {
    return instance;
  }

  long term() {
    return term;
  }

  Role role() {
    return role;
  }

  boolean isLeader() {
    return role == Role.LEADER;
  }

  @Nullable String leader() {
    return leader;
  }

  @Nullable String votedFor() {
    return votedFor;
  }

  long commitIndex() {
    return commitIndex;
  }

  boolean failed() {
    return failed;
  }

  /** Returns the newest saved snapshot, or null. */
  @Nullable Snapshot snapshot() {
    return snapshot;
  }

  Member self() {
    return new Member(node, instance);
  }

  boolean isVoter() {
    return members.latest().votes(self());
  }

  /** Returns whether neither a term nor an entry was ever stored. */
  boolean isEmpty() {
    return term == 0 && log.lastIndex() == 0;
  }

  /** Takes over the stored hard state, or draws an instance for an empty disk and stores that. */
  void recoverHardState(@Nullable HardState hardState) {
    if (hardState == null) {
      instance = random.nextLong(1, Long.MAX_VALUE);
      stageHardState();
    } else {
      instance = hardState.instance();
      term = hardState.term();
      votedFor = hardState.votedFor();
    }
  }

  void adoptTerm(long newTerm) {
    Invariants.check(newTerm > term, "terms never decrease");
    term = newTerm;
    votedFor = null;
    currentTermLeader = null;
    stageHardState();
  }

  void voteFor(String candidate) {
    Invariants.check(votedFor == null || votedFor.equals(candidate), "one vote in a term");
    if (votedFor == null) {
      votedFor = candidate;
      stageHardState();
    }
  }

  private void stageHardState() {
    durability.stage(new HardState(term, votedFor, instance));
  }

  /** Changes the role and the known leader, and tells the other parts. */
  void become(Role newRole, @Nullable String newLeader, EventContext context) {
    if (newLeader != null) {
      Invariants.check(
          currentTermLeader == null || currentTermLeader.equals(newLeader), "one leader in a term");
      currentTermLeader = newLeader;
    }
    role = newRole;
    boolean changed = !Objects.equals(leader, newLeader);
    leader = newLeader;
    if (changed || (newLeader != null && announcedTerm != term)) {
      announcedTerm = term;
      context.raise(new ConsensusEvent.LeaderChanged(group, newLeader, term));
    }
  }

  void recordLeaderContact(Instant now) {
    lastContact = now;
    resetElectionDeadline(now);
  }

  /**
   * Begins to wait for a leader after a start.
   *
   * <p>After a crash of all voters there is no leader to wait for. A voter that waits as after a
   * contact adds up to {@link RaftSettings#electionMax} to the time in which nothing is served.
   */
  void startElectionTimer(Instant now) {
    long longest = settings.maxRestartWait().toMillis();
    if (longest == 0) {
      recordLeaderContact(now);
    } else {
      electionDeadline = now.plusMillis(random.nextLong(longest + 1));
    }
  }

  void resetElectionDeadline(Instant now) {
    long spread = settings.electionMax().minus(settings.electionMin()).toMillis();
    Duration wait = settings.electionMin().plusMillis(random.nextLong(spread + 1));
    electionDeadline = now.plus(wait);
  }

  void expireElectionDeadline(Instant now) {
    electionDeadline = now;
  }

  /**
   * Lets a voter that asked for support campaign first.
   *
   * <p>Two that campaign at once split the votes, and the next try comes only after a whole wait.
   */
  void deferCampaign(Instant now) {
    Instant later = now.plus(settings.heartbeat());
    if (later.isAfter(electionDeadline)) {
      electionDeadline = later;
    }
  }

  boolean electionDue(Instant now) {
    return !now.isBefore(electionDeadline);
  }

  /**
   * Returns whether a leader may still hold its lease because of this voter.
   *
   * <p>A vote given within this time could make a second leader while the first still answers under
   * its lease. A restarted voter doesn't know what it acknowledged, so its start counts as contact.
   */
  boolean leaseMayBeActive(Instant now) {
    return isLeader() || now.isBefore(lastContact.plus(settings.electionMin()));
  }

  void commit(long index) {
    Invariants.check(index >= commitIndex, "commit index never decreases");
    Invariants.check(index <= log.lastIndex(), "only entries of the log are committed");
    commitIndex = index;
  }

  /** Appends a command as leader. */
  LogEntry append(Command command, Instant now) {
    Instant stamp = now.isBefore(log.lastStamp()) ? log.lastStamp() : now;
    LogEntry entry = new LogEntry(log.lastIndex() + 1, term, stamp, command);
    append(entry);
    return entry;
  }

  void append(LogEntry entry) {
    log.append(entry);
    members.appended(entry);
  }

  void truncateFrom(long index) {
    Invariants.check(index > commitIndex, "committed entries are never dropped");
    log.truncateFrom(index);
    members.truncateFrom(index);
    durability.truncateFrom(index);
  }

  void snapshotSaved(Snapshot saved) {
    snapshot = saved;
  }

  /** Goes on behind a saved snapshot, with the entries after it if they continue it. */
  void install(Snapshot saved) {
    Invariants.check(saved.index() > commitIndex, "commit index never decreases");
    snapshot = saved;
    if (log.termAt(saved.index()) == saved.term()) {
      log.compact(saved.index());
    } else {
      durability.truncateFrom(saved.index() + 1);
      log.reset(saved.index(), saved.term(), saved.stampedAt());
      members.truncateFrom(1);
    }
    Members covered = saved.members();
    members.reset(saved.index(), covered);
    durability.snapshotInstalled(saved.index());
    commitIndex = saved.index();
  }

  /** Stops taking part: a voter that can't store a promise must not give one. */
  void fail(EventContext context) {
    failed = true;
    durability.fail();
    become(Role.FOLLOWER, null, context);
  }
}
