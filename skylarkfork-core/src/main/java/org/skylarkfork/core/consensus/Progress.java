package org.skylarkfork.core.consensus;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.Member;

/** Replication progress of another replica, as tracked by the leader. */
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

  /** Records a response to a message that the leader sent at the given time. */
  void recordResponse(Instant sentAt) {
    if (sentAt.isAfter(lastResponseAt)) {
      lastResponseAt = sentAt;
    }
  }

  /**
   * Records that the logs match up to an index, and ends a snapshot transfer that the index covers.
   */
  void recordMatch(long index, long baseIndex) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    probing = false;
    if (snapshot != null && matchIndex >= Math.min(snapshot.index(), baseIndex)) {
      snapshot = null;
    }
  }

  /**
   * Moves {@code nextIndex} back after the replica rejected entries because of a log mismatch.
   *
   * <p>Rejections of messages sent before the last move are ignored: handling each rejection of a
   * full window would send the same entries once per rejection.
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
