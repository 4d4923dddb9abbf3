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

/** State that the components of one replica share: term, role, log and members. */
final class Replica {

  final GroupId group;
  final String node;
  final RaftSettings settings;
  final ActiveTime activeTime;
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
  private boolean logSetAside;
  private @Nullable Snapshot snapshot;
  private Instant lastContact = Instant.EPOCH;
  private Instant electionDeadline = Instant.EPOCH;

  Replica(
      GroupId group,
      String node,
      RaftSettings settings,
      GroupCodec codec,
      ActiveTime activeTime,
      UniformRandomProvider random) {
    this.group = group;
    this.node = node;
    this.settings = settings;
    this.activeTime = activeTime;
    this.random = random;
    this.log = new RaftLog(codec);
    this.durability = new Durability(group, log, settings, activeTime);
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

  /** Returns the latest saved snapshot, or null if there is none. */
  @Nullable Snapshot snapshot() {
    return snapshot;
  }

  Member self() {
    return new Member(node, instance);
  }

  boolean isVoter() {
    return members.latest().votes(self());
  }

  /**
   * Returns whether no term and no entry was ever stored.
   *
   * <p>False if a damaged log was set aside: if those of all voters were, a group that was
   * bootstrapped again would hide what they contain.
   */
  boolean isEmpty() {
    return term == 0 && log.lastIndex() == 0 && !logSetAside;
  }

  /** Records that a damaged log of this replica was set aside. */
  void markLogSetAside() {
    logSetAside = true;
  }

  /**
   * Restores the stored hard state, or generates and stores an instance id if the disk is empty.
   */
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

  /** Sets the role and the known leader, and raises an event if the leader or its term changed. */
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
   * Starts the election timer after a start of the process.
   *
   * <p>After a crash of all voters there is no leader to wait for. A full election timeout would
   * add up to {@link RaftSettings#electionMax} to the outage.
   */
  void startElectionTimer(Instant now) {
    long longest = settings.timeouts().maxRestartWait().toMillis();
    if (longest == 0) {
      recordLeaderContact(now);
    } else {
      electionDeadline = now.plusMillis(random.nextLong(longest + 1));
    }
  }

  void resetElectionDeadline(Instant now) {
    long spread =
        settings.timeouts().electionMax().minus(settings.timeouts().electionMin()).toMillis();
    Duration wait = settings.timeouts().electionMin().plusMillis(random.nextLong(spread + 1));
    electionDeadline = now.plus(wait);
  }

  void expireElectionDeadline(Instant now) {
    electionDeadline = now;
  }

  /**
   * Delays this voter's campaign by up to a heartbeat after it granted a pre-vote.
   *
   * <p>Two voters that campaign at once split the votes, and the next attempt starts only after
   * another election timeout.
   */
  void deferCampaign(Instant now) {
    Instant later = now.plus(settings.timeouts().heartbeat());
    if (later.isAfter(electionDeadline)) {
      electionDeadline = later;
    }
  }

  /**
   * Returns the time since the last contact to a leader in milliseconds, or -1 if there was none.
   */
  long silentMillis(Instant now) {
    return lastContact.equals(Instant.EPOCH) ? -1 : Duration.between(lastContact, now).toMillis();
  }

  boolean electionDue(Instant now) {
    return !now.isBefore(electionDeadline);
  }

  /**
   * Returns whether a leader may still hold a lease that counts on this voter.
   *
   * <p>A vote granted within this time could elect a second leader while the first one still serves
   * under its lease. A restarted voter doesn't know what it acknowledged, so its start counts as
   * contact.
   */
  boolean leaseMayBeActive(Instant now) {
    return isLeader() || now.isBefore(lastContact.plus(settings.timeouts().electionMin()));
  }

  void commit(long index) {
    Invariants.check(index >= commitIndex, "commit index never decreases");
    Invariants.check(index <= log.lastIndex(), "only entries of the log are committed");
    commitIndex = index;
  }

  /** Appends a command to the leader's log in the current term. */
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
    Invariants.check(index > commitIndex, "committed entries are never truncated");
    log.truncateFrom(index);
    members.truncateFrom(index);
    durability.truncateFrom(index);
  }

  void snapshotSaved(Snapshot saved) {
    snapshot = saved;
  }

  /** Installs a saved snapshot and keeps the log entries after it if they continue it. */
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

  /**
   * Stops participating: a voter that can't persist votes and entries must not acknowledge them.
   */
  void fail(EventContext context) {
    failed = true;
    durability.fail();
    become(Role.FOLLOWER, null, context);
  }
}
