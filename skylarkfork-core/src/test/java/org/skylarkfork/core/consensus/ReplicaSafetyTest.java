package org.skylarkfork.core.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.GroupState;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.command.Members;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.StorageEvent;
import org.skylarkfork.core.ledger.LedgerBounds;
import org.skylarkfork.core.ledger.LedgerMachine;
import org.skylarkfork.core.message.RaftMessage;
import org.skylarkfork.core.message.RaftMessage.AppendRequest;
import org.skylarkfork.core.message.RaftMessage.AppendResponse;
import org.skylarkfork.core.message.RaftMessage.VoteRequest;
import org.skylarkfork.core.message.RaftMessage.VoteResponse;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the votes and acknowledgements that one replica sends and counts, message by message. */
public class ReplicaSafetyTest {

  private static final GroupId GROUP = GroupId.LEDGER;
  private static final GroupId OTHER = new GroupId("ledger", 1);
  private static final Members MEMBERS =
      new Members(List.of(new Member("a", 1), new Member("b", 2), new Member("c", 3)), List.of());

  private final List<RaftMessage> sent = new ArrayList<>();
  private Instant now;
  private ConsensusPart part;
  private Reducer reducer;
  private long writes;
  private long truncatedFrom;

  /** Starts replica a with two entries of terms 1 and 2 on its disk. */
  @BeforeMethod
  public void start() {
    now = Instant.parse("2026-01-01T00:00:00Z");
    writes = 0;
    truncatedFrom = 0;
    sent.clear();
    LedgerMachine machine = new LedgerMachine(LedgerBounds.DEFAULT);
    GroupSetup setup = new GroupSetup(GROUP, List.of("a", "b", "c"), machine);
    LedgerMachine otherMachine = new LedgerMachine(LedgerBounds.DEFAULT);
    GroupSetup other = new GroupSetup(OTHER, List.of("a", "b", "c"), otherMachine);
    RaftSettings settings = RaftSettings.defaults();
    part =
        new ConsensusPart("a", List.of(setup, other), settings, new TestCluster.MemoryCodec(), 7);
    reducer = new Reducer(List.of(part));
    List<LogEntry> entries =
        List.of(
            entry(1, 1, new GroupCommand.ChangeMembers(MEMBERS)),
            entry(2, 2, new GroupCommand.Probe("two")));
    apply(new StorageEvent.Recovered(GROUP, new HardState(2, null, 1), null, entries));
  }

  // Guards against two leaders in a term: a voter that responds before its vote is synced and then
  // loses power could vote a second time in the term.
  @Test
  public void voteIsSentAfterSync() {
    advanceTime(400);
    receive("b", new VoteRequest(GROUP, 9, 2, 2, false, false));
    assertFalse(granted());
    sync();
    assertTrue(granted());
  }

  // Guards against lost changes: a leader counts acknowledged entries, and an entry acknowledged
  // before it is synced is lost in a power failure although its caller received a success.
  @Test
  public void acknowledgementIsSentAfterSync() {
    receive("b", new AppendRequest(GROUP, 3, 2, 2, List.of(), 0, now));
    sync();
    AppendRequest request = append(3, entry(3, 3, new GroupCommand.Probe("three")));
    receive("b", request);
    receive("b", request);
    assertTrue(acknowledged() < 3);
    sync();
    assertEquals(acknowledged(), 3);
  }

  // Guards against memory that grows with each heartbeat, until the process ends, while the disk of
  // a
  // follower takes no writes: the responses in a new term wait for the stored term.
  @Test
  public void repeatedResponsesDoNotCollectWhileDiskIsStalled() {
    for (int heartbeat = 0; heartbeat < 1_000; heartbeat++) {
      now = now.plusMillis(100);
      receive("b", new AppendRequest(GROUP, 3, 2, 2, List.of(), 0, now));
    }
    assertTrue(sent.isEmpty());
    sync();
    assertEquals(
        sent, List.of(new AppendResponse(GROUP, 3, 1, true, 2, now.minus(Duration.ofMillis(1)))));
  }

  // Guards against stale reads: a leader serves reads under its lease while a candidate requests
  // votes. A vote within the minimum election timeout would let a second leader change the state
  // that the first one still serves. The same holds for a voter that has just restarted and doesn't
  // know what it acknowledged.
  @Test
  public void noVoteWhileLeaseMayBeActive() {
    advanceTime(280);
    receive("b", new VoteRequest(GROUP, 9, 2, 2, false, false));
    advanceTime(40);
    receive("c", append(3, entry(3, 3, new GroupCommand.Probe("three"))));
    advanceTime(280);
    receive("b", new VoteRequest(GROUP, 9, 5, 5, false, false));
    receive("b", new VoteRequest(GROUP, 9, 5, 5, true, false));
    sync();
    assertFalse(granted());
    assertEquals(part.status(GROUP).term(), 3);
  }

  // Guards against lost changes: an entry of an earlier term that a new leader replicated to a
  // majority can still be overwritten by another leader. It must not be committed until an entry of
  // the leader's own term has reached a majority.
  @Test
  public void entryOfEarlierTermIsNotCommittedByCounting() {
    becomeLeader();
    receive("b", acknowledge(2, 2));
    assertEquals(part.status(GROUP).commitIndex(), 0);
    receive("b", acknowledge(2, 3));
    assertEquals(part.status(GROUP).commitIndex(), 3);
  }

  // Guards against counting wiped voters: b and c return with empty disks under their old names,
  // and neither their votes nor their acknowledgements may count as those of the old disks.
  @Test
  public void wipedVotersAreNotCounted() {
    campaign();
    receive("b", new VoteResponse(GROUP, 3, 77, true, false));
    receive("c", new VoteResponse(GROUP, 3, 78, true, false));
    assertEquals(part.status(GROUP).role(), Role.CANDIDATE);
    receive("b", new VoteResponse(GROUP, 3, 2, true, false));
    sync();
    assertEquals(part.status(GROUP).role(), Role.LEADER);
    receive("b", acknowledge(77, 3));
    receive("c", acknowledge(78, 3));
    assertEquals(part.status(GROUP).commitIndex(), 0);
  }

  // Guards against counting a replica that is not caught up: voter c returns with an empty disk and
  // is admitted as a learner. If it voted before it has all accepted entries, the loss of a second
  // voter could lose them.
  @Test
  public void learnerBecomesVoterOnceCaughtUp() {
    becomeLeader();
    receive("b", acknowledge(2, 3));
    receive("c", new RaftMessage.JoinRequest(GROUP, 9));
    sync();
    receive("b", acknowledge(2, 4));
    assertEquals(part.status(GROUP).commitIndex(), 4);
    receive("c", acknowledge(9, 3));
    Member repaired = new Member("c", 9);
    assertEquals(part.status(GROUP).members().learners(), List.of(repaired));
    receive("c", acknowledge(9, 4));
    assertTrue(part.status(GROUP).members().votes(repaired));
  }

  // Guards against stale entries in the log: power fails after a leader's snapshot was saved and
  // before the conflicting entries were truncated. If they were kept, they would appear to continue
  // the snapshot.
  @Test
  public void entriesConflictingWithSnapshotAreTruncated() {
    Snapshot snapshot = new Snapshot(10, 5, now, MEMBERS, new GroupState.Empty());
    List<LogEntry> stale = List.of(entry(11, 3, new GroupCommand.Probe("stale")));
    apply(new StorageEvent.Recovered(OTHER, new HardState(5, null, 1), snapshot, stale));
    assertEquals(part.status(OTHER).lastIndex(), 10);
    assertEquals(truncatedFrom, 11);
  }

  // Guards against one group's disk failure that stops the daemon's other group: only the replica
  // of the failed group may stop.
  @Test
  public void diskFailureOfOneGroupDoesNotAffectOthers() {
    apply(new StorageEvent.Recovered(OTHER, new HardState(2, null, 1), null, List.of()));
    becomeLeader();
    apply(new StorageEvent.Failed(OTHER, "no space left on device"));
    receive("b", acknowledge(2, 3));
    assertTrue(part.status(OTHER).storageFailed());
    assertEquals(part.status(GROUP).commitIndex(), 3);
  }

  private void campaign() {
    advanceTime(700);
    receive("b", new VoteResponse(GROUP, 3, 2, true, true));
    sync();
    assertEquals(part.status(GROUP).role(), Role.CANDIDATE);
  }

  private void becomeLeader() {
    campaign();
    receive("b", new VoteResponse(GROUP, 3, 2, true, false));
    sync();
    assertEquals(part.status(GROUP).role(), Role.LEADER);
  }

  private boolean granted() {
    return sent.stream().anyMatch(sent -> sent instanceof VoteResponse vote && vote.granted());
  }

  private long acknowledged() {
    long index = 0;
    for (RaftMessage message : sent) {
      if (message instanceof AppendResponse response && response.matched()) {
        index = Math.max(index, response.index());
      }
    }
    return index;
  }

  private AppendResponse acknowledge(long instance, long index) {
    return new AppendResponse(GROUP, 3, instance, true, index, now);
  }

  private AppendRequest append(long term, LogEntry entry) {
    return new AppendRequest(GROUP, term, 2, 2, List.of(entry), 0, now);
  }

  private LogEntry entry(long index, long term, Command command) {
    return new LogEntry(index, term, now, command);
  }

  private void receive(String from, RaftMessage message) {
    apply(new PeerEvent.MessageReceived(from, message));
  }

  private void advanceTime(long millis) {
    for (long elapsed = 0; elapsed < millis; elapsed += Reducer.TICK.toMillis()) {
      now = now.plus(Reducer.TICK);
      apply(new LifecycleEvent.Tick());
    }
  }

  private void sync() {
    now = now.plus(Duration.ofMillis(1));
    apply(new StorageEvent.Persisted(GROUP, writes));
  }

  private void apply(Event event) {
    for (Effect effect : reducer.apply(event, now)) {
      if (effect instanceof PeerEffect.SendToPeer send
          && send.message() instanceof RaftMessage message) {
        sent.add(message);
      } else if (effect instanceof StorageEffect.Persist write) {
        writes = write.group().equals(GROUP) ? write.sequence() : writes;
        truncatedFrom = Math.max(truncatedFrom, write.truncateFrom());
      }
    }
  }
}
