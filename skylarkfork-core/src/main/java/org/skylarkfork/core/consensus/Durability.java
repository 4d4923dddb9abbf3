package org.skylarkfork.core.consensus;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.message.RaftMessage;

/**
 * Writes of one group on their way to the disk, and the messages that wait for them.
 *
 * <p>A vote or an acknowledgement that leaves before its write is synced breaks after a power
 * failure: the voter votes twice in a term, or an accepted entry is gone. Here each promise names
 * the write it rests on and leaves only once the disk has reported that write or a later one.
 */
final class Durability {

  private final GroupId group;
  private final RaftLog log;
  private final Deque<Write> inFlight = new ArrayDeque<>();
  private final Deque<PendingMessage> pendingMessages = new ArrayDeque<>();
  private long sequence;
  private long syncedSequence;
  private long hardStateSequence;
  private long syncedIndex;
  private long issuedIndex;
  private @Nullable HardState stagedHardState;
  private long stagedTruncate;
  private boolean hardStateStored;

  Durability(GroupId group, RaftLog log) {
    this.group = group;
    this.log = log;
  }

  /** Returns the last index that the disk holds for certain. */
  long syncedIndex() {
    return syncedIndex;
  }

  /** Returns the last index that is written or on its way. */
  long issuedIndex() {
    return issuedIndex;
  }

  int writesInFlight() {
    return inFlight.size();
  }

  boolean isHardStateSynced() {
    return stagedHardState == null && syncedSequence >= hardStateSequence;
  }

  /** Returns whether the hard state, however old, is on the disk. */
  boolean isHardStateStored() {
    return hardStateStored;
  }

  /** Returns whether a write has been on its way since before that time. */
  boolean stalledSince(Instant time) {
    return !inFlight.isEmpty() && inFlight.getFirst().issuedAt.isBefore(time);
  }

  /** Starts with what the disk held. */
  void recovered(long lastIndex, boolean withHardState) {
    hardStateStored = withHardState;
    syncedIndex = lastIndex;
    issuedIndex = lastIndex;
  }

  void stage(HardState hardState) {
    stagedHardState = hardState;
  }

  void truncateFrom(long index) {
    if (index <= issuedIndex) {
      stagedTruncate = stagedTruncate == 0 ? index : Math.min(stagedTruncate, index);
      issuedIndex = index - 1;
    }
    syncedIndex = Math.min(syncedIndex, index - 1);
    for (Write write : inFlight) {
      write.lastIndex = Math.min(write.lastIndex, index - 1);
    }
  }

  /** Takes a saved snapshot for the log up to its index. */
  void snapshotInstalled(long index) {
    syncedIndex = Math.max(syncedIndex, index);
    issuedIndex = Math.max(issuedIndex, index);
  }

  /** Sends a message once the newest hard state is synced, at once if it is. */
  void sendAfterHardState(String node, long term, RaftMessage message, EventContext context) {
    long needed = stagedHardState == null ? hardStateSequence : sequence + 1;
    sendOnceSynced(new PendingMessage(needed, term, node, message), context);
  }

  /** Sends a message once everything up to now is synced. */
  void sendAfterAll(String node, long term, RaftMessage message, EventContext context) {
    long needed = hasStagedChanges() ? sequence + 1 : sequence;
    sendOnceSynced(new PendingMessage(needed, term, node, message), context);
  }

  private void sendOnceSynced(PendingMessage pending, EventContext context) {
    if (pending.sequence <= syncedSequence) {
      context.send(pending.node, pending.message);
    } else {
      pendingMessages.addLast(pending);
    }
  }

  private boolean hasStagedChanges() {
    return stagedHardState != null || stagedTruncate > 0 || issuedIndex < log.lastIndex();
  }

  boolean hasStagedHardState() {
    return stagedHardState != null;
  }

  /** Issues one write for everything staged. */
  void flush(EventContext context) {
    if (!hasStagedChanges()) {
      return;
    }
    sequence++;
    if (stagedHardState != null) {
      hardStateSequence = sequence;
    }
    long last = log.lastIndex();
    List<LogEntry> entries = new ArrayList<>();
    for (long index = issuedIndex + 1; index <= last; index++) {
      entries.add(log.entry(index));
    }
    inFlight.addLast(new Write(sequence, last, context.now()));
    context.effect(
        new StorageEffect.Persist(group, sequence, stagedHardState, stagedTruncate, entries));
    issuedIndex = last;
    stagedHardState = null;
    stagedTruncate = 0;
  }

  /** Takes note of a sync and sends what waited for it, if it is still of the present term. */
  void persisted(long upTo, long term, EventContext context) {
    Invariants.check(upTo <= sequence, "the disk reports only writes that were asked for");
    syncedSequence = Math.max(syncedSequence, upTo);
    hardStateStored |= hardStateSequence > 0 && upTo >= hardStateSequence;
    while (!inFlight.isEmpty() && inFlight.getFirst().sequence <= upTo) {
      syncedIndex = Math.max(syncedIndex, inFlight.removeFirst().lastIndex);
    }
    List<PendingMessage> waiting = new ArrayList<>(pendingMessages);
    pendingMessages.clear();
    for (PendingMessage pending : waiting) {
      if (pending.term != term) {
        continue;
      }
      sendOnceSynced(pending, context);
    }
  }

  /** Forgets what waits: the disk failed, so that no promise can be kept. */
  void fail() {
    pendingMessages.clear();
  }

  private static final class Write {
    private final long sequence;
    private final Instant issuedAt;
    private long lastIndex;

    private Write(long sequence, long lastIndex, Instant issuedAt) {
      this.sequence = sequence;
      this.lastIndex = lastIndex;
      this.issuedAt = issuedAt;
    }
  }

  private record PendingMessage(long sequence, long term, String node, RaftMessage message) {}
}
