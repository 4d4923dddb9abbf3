package org.skylarkfork.core.consensus;

import java.time.Duration;
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
import org.skylarkfork.core.message.RaftMessage.AppendResponse;

/**
 * Tracks pending writes of one group and the messages that wait for them to be synced.
 *
 * <p>A vote or acknowledgement that is sent before its write is synced becomes invalid after a
 * power failure: the voter could vote twice in a term, or an accepted entry could be lost. Each
 * pending message therefore holds the sequence number of its write and is sent only once the disk
 * has reported that write or a later one.
 */
final class Durability {

  private final GroupId group;
  private final RaftLog log;
  private final RaftSettings settings;
  private final ActiveTime activeTime;
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

  Durability(GroupId group, RaftLog log, RaftSettings settings, ActiveTime activeTime) {
    this.group = group;
    this.log = log;
    this.settings = settings;
    this.activeTime = activeTime;
  }

  /** Returns the last index that is synced to disk. */
  long syncedIndex() {
    return syncedIndex;
  }

  /** Returns the last index that was passed to the storage, synced or not. */
  long issuedIndex() {
    return issuedIndex;
  }

  int writesInFlight() {
    return inFlight.size();
  }

  boolean isHardStateSynced() {
    return stagedHardState == null && syncedSequence >= hardStateSequence;
  }

  /** Returns whether any version of the hard state is on disk. */
  boolean isHardStateStored() {
    return hardStateStored;
  }

  /**
   * Returns whether a write is pending for longer than {@link RaftSettings#storageStallTimeout}, in
   * this daemon's active time.
   */
  boolean isStalled() {
    Write oldest = inFlight.peekFirst();
    return oldest != null
        && activeTime
                .elapsed()
                .minus(oldest.activeAt)
                .compareTo(settings.timeouts().storageStallTimeout())
            > 0;
  }

  /** Initializes the state from what was recovered from disk. */
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

  /** Treats the log up to the index of a saved snapshot as synced. */
  void snapshotInstalled(long index) {
    syncedIndex = Math.max(syncedIndex, index);
    issuedIndex = Math.max(issuedIndex, index);
  }

  /** Sends a message once the latest hard state is synced, immediately if it already is. */
  void sendAfterHardState(String node, long term, RaftMessage message, EventContext context) {
    long needed = stagedHardState == null ? hardStateSequence : sequence + 1;
    sendOnceSynced(new PendingMessage(needed, term, node, message), context);
  }

  /** Sends a message once all writes staged or issued so far are synced. */
  void sendAfterAll(String node, long term, RaftMessage message, EventContext context) {
    long needed = hasStagedChanges() ? sequence + 1 : sequence;
    sendOnceSynced(new PendingMessage(needed, term, node, message), context);
  }

  private void sendOnceSynced(PendingMessage pending, EventContext context) {
    if (pending.sequence <= syncedSequence) {
      context.send(pending.node, pending.message);
    } else {
      PendingMessage last = pendingMessages.peekLast();
      if (last != null && pending.repeats(last)) {
        pendingMessages.removeLast();
      }
      pendingMessages.addLast(pending);
    }
  }

  private boolean hasStagedChanges() {
    return stagedHardState != null || stagedTruncate > 0 || issuedIndex < log.lastIndex();
  }

  boolean hasStagedHardState() {
    return stagedHardState != null;
  }

  /** Issues one write for all staged changes. */
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
    inFlight.addLast(new Write(sequence, last, context.now(), activeTime.elapsed()));
    context.effect(
        new StorageEffect.Persist(group, sequence, stagedHardState, stagedTruncate, entries));
    issuedIndex = last;
    stagedHardState = null;
    stagedTruncate = 0;
  }

  /**
   * Records a sync and sends the messages that waited for it, unless they belong to an earlier
   * term.
   */
  void persisted(long upTo, long term, EventContext context) {
    Invariants.check(upTo <= sequence, "the disk reports only issued writes");
    syncedSequence = Math.max(syncedSequence, upTo);
    hardStateStored |= hardStateSequence > 0 && upTo >= hardStateSequence;
    while (!inFlight.isEmpty() && inFlight.getFirst().sequence <= upTo) {
      Write write = inFlight.removeFirst();
      syncedIndex = Math.max(syncedIndex, write.lastIndex);
      Duration time = Duration.between(write.issuedAt, context.now());
      if (time.compareTo(settings.timeouts().heartbeat()) > 0) {
        context.log(group, "slow_sync", "ms=" + time.toMillis());
      }
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

  /** Drops all pending messages, because the disk failed and their writes can't be synced. */
  void fail() {
    pendingMessages.clear();
  }

  private static final class Write {
    private final long sequence;
    private final Instant issuedAt;
    private final Duration activeAt;
    private long lastIndex;

    private Write(long sequence, long lastIndex, Instant issuedAt, Duration activeAt) {
      this.sequence = sequence;
      this.lastIndex = lastIndex;
      this.issuedAt = issuedAt;
      this.activeAt = activeAt;
    }
  }

  private record PendingMessage(long sequence, long term, String node, RaftMessage message) {

    /**
     * Returns whether this is a newer response of the same content that waits for the same write,
     * as one for each heartbeat does while the disk is stalled.
     */
    private boolean repeats(PendingMessage earlier) {
      return sequence == earlier.sequence
          && term == earlier.term
          && node.equals(earlier.node)
          && message instanceof AppendResponse response
          && earlier.message instanceof AppendResponse before
          && response.matched() == before.matched()
          && response.index() == before.index();
    }
  }
}
