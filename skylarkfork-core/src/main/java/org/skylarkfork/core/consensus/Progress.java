package org.skylarkfork.core.consensus;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.Member;

/** What a leader knows of another replica. */
final class Progress {

  final Member member;
  long matchIndex;
  long nextIndex;
  long sentCommitIndex;
  boolean probing = true;
  boolean probeSent;
  Instant trackedSince = Instant.EPOCH;
  Instant resetAt = Instant.EPOCH;
  Instant lastResponseAt = Instant.EPOCH;
  @Nullable SnapshotSender snapshot;

  Progress(Member member, long nextIndex) {
    this.member = member;
    this.nextIndex = nextIndex;
  }

  /** Takes note that the replica answered something that was sent at that time. */
  void recordResponse(Instant sentAt) {
    if (sentAt.isAfter(lastResponseAt)) {
      lastResponseAt = sentAt;
    }
  }

  /** Takes note that the logs agree up to an index; the snapshot in use may be done with. */
  void recordMatch(long index, long baseIndex) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    probing = false;
    if (snapshot != null && matchIndex >= Math.min(snapshot.index(), baseIndex)) {
      snapshot = null;
    }
  }

  /**
   * Goes back to an index at or before which the logs agree.
   *
   * <p>Refusals of messages sent before the last step back tell nothing new; obeying each of a full
   * window of them would send the same entries as often.
   */
  void recordMismatch(long index, Instant sentAt, Instant now) {
    if (snapshot != null || sentAt.isBefore(resetAt)) {
      return;
    }
    long previousNextIndex = nextIndex;
    nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, index + 1));
    probing = true;
    probeSent = nextIndex == previousNextIndex;
    resetAt = now;
  }
}
