package org.skylarkfork.core.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.command.Members;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.core.message.RaftMessage.AppendRequest;
import org.skylarkfork.core.message.RaftMessage.AppendResponse;
import org.skylarkfork.core.message.RaftMessage.ChunkResponse;

/** Leader-side log replication, commit index and leader lease. */
final class Replication {

  private final Replica replica;
  private final GroupCodec codec;
  private final Map<String, Progress> progresses = new LinkedHashMap<>();
  private Instant leaderSince = Instant.EPOCH;
  private Duration activeSince = Duration.ZERO;
  private Instant nextHeartbeat = Instant.EPOCH;
  private long encodedIndex;
  private byte @Nullable [] encodedSnapshot;

  Replication(Replica replica, GroupCodec codec) {
    this.replica = replica;
    this.codec = codec;
  }

  /** Starts replication as leader; the first heartbeat is sent by the next {@link #replicate}. */
  void start(EventContext context) {
    progresses.clear();
    leaderSince = context.now();
    activeSince = replica.activeTime.elapsed();
    nextHeartbeat = context.now();
    membersChanged();
  }

  void stop() {
    progresses.clear();
    encodedSnapshot = null;
  }

  /**
   * Updates the tracked replicas after a member change; a replica with a new disk starts from
   * scratch.
   */
  void membersChanged() {
    Members members = replica.members.latest();
    List<Member> wanted = members.all();
    progresses.values().removeIf(progress -> !wanted.contains(progress.member));
    for (Member member : wanted) {
      if (!member.node().equals(replica.node) && !progresses.containsKey(member.node())) {
        progresses.put(
            member.node(),
            new Progress(member, replica.log.lastIndex() + 1, replica.activeTime.elapsed()));
      }
    }
  }

  /** Returns the progress of a replica, or null if the instance isn't the one of a member. */
  @Nullable Progress progress(String node, long instance) {
    Progress progress = progresses.get(node);
    if (progress == null || progress.member.instance() != instance) {
      return null;
    }
    return progress;
  }

  /** Sends missing entries to each replica, and heartbeats when they are due. */
  void replicate(EventContext context) {
    boolean heartbeat = !context.now().isBefore(nextHeartbeat);
    if (heartbeat) {
      nextHeartbeat = context.now().plus(replica.settings.timeouts().heartbeat());
    }
    for (Progress progress : progresses.values()) {
      boolean sent = sendMissing(progress, context);
      if (heartbeat && !sent) {
        sendHeartbeat(progress, context);
      } else if (!sent && progress.sentCommitIndex < replica.commitIndex() && !progress.probing) {
        sendEntries(progress, List.of(), context);
      }
    }
  }

  private void sendHeartbeat(Progress progress, EventContext context) {
    SnapshotSender snapshot = progress.snapshot;
    if (snapshot == null) {
      sendEntries(progress, List.of(), context);
      return;
    }
    send(progress, replica.log.baseIndex(), List.of(), context);
    snapshot.resend(replica, progress.member.node(), context);
  }

  private boolean sendMissing(Progress progress, EventContext context) {
    if (progress.snapshot != null) {
      return false;
    }
    if (progress.nextIndex <= replica.log.baseIndex()) {
      startSnapshot(progress, context);
      return false;
    }
    if (progress.probing) {
      return probe(progress, context);
    }
    boolean sent = false;
    RaftLimits limits = replica.settings.limits();
    long end =
        Math.min(
            replica.durability.issuedIndex(), progress.matchIndex + limits.maxInFlightEntries());
    while (progress.nextIndex <= end && inFlightBytes(progress) < limits.maxInFlightBytes()) {
      List<LogEntry> entries = batch(progress.nextIndex, end);
      sendEntries(progress, entries, context);
      progress.nextIndex += entries.size();
      sent = true;
    }
    return sent;
  }

  private long inFlightBytes(Progress progress) {
    return replica.log.bytesBetween(progress.matchIndex, progress.nextIndex - 1);
  }

  private boolean probe(Progress progress, EventContext context) {
    if (progress.probeSent) {
      return false;
    }
    progress.probeSent = true;
    sendEntries(progress, List.of(), context);
    return true;
  }

  private List<LogEntry> batch(long from, long to) {
    RaftSettings settings = replica.settings;
    return replica.log.slice(
        from, to, settings.limits().maxAppendEntries(), settings.limits().maxAppendBytes());
  }

  private void sendEntries(Progress progress, List<LogEntry> entries, EventContext context) {
    send(progress, progress.nextIndex - 1, entries, context);
  }

  private void send(
      Progress progress, long previous, List<LogEntry> entries, EventContext context) {
    progress.sentCommitIndex = replica.commitIndex();
    context.send(
        progress.member.node(),
        new AppendRequest(
            replica.group,
            replica.term(),
            previous,
            replica.log.termAt(previous),
            entries,
            replica.commitIndex(),
            context.now()));
  }

  private void startSnapshot(Progress progress, EventContext context) {
    Snapshot snapshot = replica.snapshot();
    Invariants.check(
        snapshot != null && snapshot.index() >= replica.log.baseIndex(),
        "a saved snapshot covers the compacted entries");
    byte[] encoded = encodedSnapshot;
    if (encoded == null || encodedIndex != snapshot.index()) {
      encoded = codec.encode(snapshot);
      encodedSnapshot = encoded;
      encodedIndex = snapshot.index();
    }
    SnapshotSender sender = new SnapshotSender(snapshot.index(), encoded);
    progress.snapshot = sender;
    sender.send(replica, progress.member.node(), context);
  }

  void onResponse(String from, AppendResponse response, EventContext context) {
    Progress progress = progress(from, response.instance());
    if (progress == null) {
      return;
    }
    progress.recordResponse(response.sentAt(), context.now(), replica.activeTime.elapsed());
    if (response.matched()) {
      Invariants.check(
          response.index() <= replica.log.lastIndex(), "a match index is within the leader's log");
      progress.recordMatch(response.index(), replica.log.baseIndex());
    } else {
      progress.recordMismatch(response.index(), response.sentAt(), context.now());
    }
  }

  void onChunkResponse(String from, ChunkResponse response, EventContext context) {
    Progress progress = progress(from, response.instance());
    if (progress == null) {
      return;
    }
    progress.recordResponse(response.sentAt(), context.now(), replica.activeTime.elapsed());
    SnapshotSender snapshot = progress.snapshot;
    if (snapshot == null || snapshot.index() != response.index()) {
      return;
    }
    snapshot.acknowledged(response.offset());
    if (!snapshot.isComplete()) {
      snapshot.send(replica, from, context);
    }
  }

  /**
   * Advances the commit index to the highest entry that a majority has synced.
   *
   * <p>Only entries of the current term are committed by counting replicas: an entry of an earlier
   * term that a majority holds can still be overwritten by a leader without it, and an accepted
   * change would be lost. Once a majority holds an entry of the current term, no such leader can be
   * elected.
   */
  void advanceCommit() {
    Members members = replica.members.latest();
    List<Long> synced = new ArrayList<>();
    for (Member voter : members.voters()) {
      synced.add(syncedIndex(voter));
    }
    if (synced.size() < members.quorum()) {
      return;
    }
    synced.sort(Collections.reverseOrder());
    long index = synced.get(members.quorum() - 1);
    if (index > replica.commitIndex() && replica.log.termAt(index) == replica.term()) {
      replica.commit(index);
    }
  }

  private long syncedIndex(Member voter) {
    if (voter.equals(replica.self())) {
      return replica.durability.syncedIndex();
    }
    Progress progress = progress(voter.node(), voter.instance());
    return progress == null ? 0 : progress.matchIndex;
  }

  /**
   * Returns whether no majority has answered for {@link RaftSettings#majorityTimeout}, in this
   * daemon's active time.
   *
   * <p>Unlike the lease, this counts from the arrival of answers. Counted from the sending of the
   * messages that they answer, a majority that answers each heartbeat but takes longer than the
   * lease minus a heartbeat would depose every leader.
   */
  boolean lostMajorityContact() {
    Duration active = replica.activeTime.elapsed();
    Members members = replica.members.latest();
    List<Duration> heard = new ArrayList<>();
    for (Member voter : members.voters()) {
      Progress progress = progress(voter.node(), voter.instance());
      if (voter.equals(replica.self())) {
        heard.add(active);
      } else {
        heard.add(progress == null ? activeSince : progress.heardAt);
      }
    }
    heard.sort(Collections.reverseOrder());
    Duration majority =
        heard.size() < members.quorum() ? activeSince : heard.get(members.quorum() - 1);
    return active.minus(majority).compareTo(replica.settings.timeouts().majorityTimeout()) >= 0;
  }

  /** Returns whether the leader lease is valid and an entry of the current term is committed. */
  boolean holdsLease(Instant now) {
    Instant end =
        lastMajorityResponse(now, Instant.EPOCH).plus(replica.settings.timeouts().lease());
    return now.isBefore(end) && replica.log.termAt(replica.commitIndex()) == replica.term();
  }

  /**
   * Returns the latest time at which a majority confirmed this leader, or {@code Instant.EPOCH} if
   * no entry of the current term is committed.
   */
  Instant leadershipConfirmedAt(Instant now) {
    boolean termCommitted = replica.log.termAt(replica.commitIndex()) == replica.term();
    return termCommitted ? lastMajorityResponse(now, Instant.EPOCH) : Instant.EPOCH;
  }

  private Instant lastMajorityResponse(Instant now, Instant earliest) {
    Members members = replica.members.latest();
    List<Instant> responseTimes = new ArrayList<>();
    for (Member voter : members.voters()) {
      Progress progress = progress(voter.node(), voter.instance());
      if (voter.equals(replica.self())) {
        responseTimes.add(now);
      } else if (progress == null || progress.lastResponseAt.isBefore(earliest)) {
        responseTimes.add(earliest);
      } else {
        responseTimes.add(progress.lastResponseAt);
      }
    }
    responseTimes.sort(Collections.reverseOrder());
    return responseTimes.size() < members.quorum()
        ? earliest
        : responseTimes.get(members.quorum() - 1);
  }

  /**
   * Returns the time between the last two ticks and since the start of the leadership and, for each
   * other replica, the age of the newest message that it answered, the age of its last answer and
   * that answer's round trip, all in milliseconds; -1 stands for no answer.
   */
  String describe(Instant now) {
    StringBuilder text = new StringBuilder();
    text.append("tick_gap_ms=").append(replica.activeTime.gap().toMillis());
    text.append(" led_ms=").append(millis(leaderSince, now));
    for (Progress progress : progresses.values()) {
      text.append(" replica=").append(progress.member.node());
      text.append(" answered_ms=").append(millis(progress.lastResponseAt, now));
      text.append(" heard_ms=").append(millis(progress.lastReceivedAt, now));
      text.append(" trip_ms=").append(progress.lastTripMillis);
    }
    return text.toString();
  }

  private static long millis(Instant from, Instant to) {
    return from.equals(Instant.EPOCH) ? -1 : Duration.between(from, to).toMillis();
  }

  /**
   * Returns whether a replica has not answered for a duration of this daemon's active time.
   *
   * <p>In real time, a leader that was paused for the duration would remove replicas that were
   * never asked in the meantime.
   */
  boolean unresponsiveFor(Member member, Duration duration) {
    Progress progress = progress(member.node(), member.instance());
    return progress != null
        && replica.activeTime.elapsed().minus(progress.heardAt).compareTo(duration) > 0;
  }

  /** Returns the voter with the longest matching log, or null if this replica is the only voter. */
  @Nullable String transferTarget() {
    Progress best = null;
    for (Progress progress : progresses.values()) {
      boolean votes = replica.members.latest().votes(progress.member);
      if (votes && (best == null || progress.matchIndex > best.matchIndex)) {
        best = progress;
      }
    }
    return best == null ? null : best.member.node();
  }

  /** Returns a responsive learner that has all committed entries, or null if there is none. */
  @Nullable Member caughtUpLearner(Instant now) {
    for (Member learner : replica.members.latest().learners()) {
      Progress progress = progress(learner.node(), learner.instance());
      if (progress == null || progress.matchIndex < replica.commitIndex()) {
        continue;
      }
      Instant answering = progress.lastResponseAt.plus(replica.settings.timeouts().electionMin());
      if (now.isBefore(answering)) {
        return learner;
      }
    }
    return null;
  }
}
