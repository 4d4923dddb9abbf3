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
  private final Deque<Promise> promises = new ArrayDeque<>();
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

  boolean hardStateSynced() {
    return stagedHardState == null && syncedSequence >= hardStateSequence;
  }

  /** Returns whether the hard state, however old, is on the disk. */
  boolean hardStateWasSynced() {
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
  void afterHardState(String node, long term, RaftMessage message, Turn turn) {
    long needed = stagedHardState == null ? hardStateSequence : sequence + 1;
    promise(new Promise(needed, term, node, message), turn);
  }

  /** Sends a message once everything up to now is synced. */
  void afterAll(String node, long term, RaftMessage message, Turn turn) {
    long needed = hasStaged() ? sequence + 1 : sequence;
    promise(new Promise(needed, term, node, message), turn);
  }

  private void promise(Promise promise, Turn turn) {
    if (promise.sequence <= syncedSequence) {
      turn.send(promise.node, promise.message);
    } else {
      promises.addLast(promise);
    }
  }

  private boolean hasStaged() {
    return stagedHardState != null || stagedTruncate > 0 || issuedIndex < log.lastIndex();
  }

  boolean hasStagedHardState() {
    return stagedHardState != null;
  }

  /** Issues one write for everything staged. */
  void flush(Turn turn) {
    if (!hasStaged()) {
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
    inFlight.addLast(new Write(sequence, last, turn.now()));
    turn.effect(
        new StorageEffect.Persist(group, sequence, stagedHardState, stagedTruncate, entries));
    issuedIndex = last;
    stagedHardState = null;
    stagedTruncate = 0;
  }

  /** Takes note of a sync and sends what waited for it, if it is still of the present term. */
  void persisted(long upTo, long term, Turn turn) {
    Invariants.check(upTo <= sequence, "the disk reports only writes that were asked for");
    syncedSequence = Math.max(syncedSequence, upTo);
    hardStateStored |= hardStateSequence > 0 && upTo >= hardStateSequence;
    while (!inFlight.isEmpty() && inFlight.getFirst().sequence <= upTo) {
      syncedIndex = Math.max(syncedIndex, inFlight.removeFirst().lastIndex);
    }
    List<Promise> waiting = new ArrayList<>(promises);
    promises.clear();
    for (Promise promise : waiting) {
      if (promise.term != term) {
        continue;
      }
      promise(promise, turn);
    }
  }

  /** Forgets what waits: the disk failed, so that no promise can be kept. */
  void fail() {
    promises.clear();
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

  private record Promise(long sequence, long term, String node, RaftMessage message) {}
}
