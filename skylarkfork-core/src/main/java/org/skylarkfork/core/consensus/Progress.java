package org.skylarkfork.core.consensus;

import java.time.Duration;
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
  Instant resetAt = Instant.EPOCH;

  /** When the newest message that the replica answered was sent. */
  Instant lastResponseAt = Instant.EPOCH;

  /** When the last answer arrived. */
  Instant lastReceivedAt = Instant.EPOCH;

  /**
   * When the last answer arrived, in the leader's active time; before the first answer, when the
   * leader began to track the replica.
   */
  Duration heardAt;

  /** Round trip of the answer to the newest answered message, or -1 if there was none. */
  long lastTripMillis = -1;

  @Nullable SnapshotSender snapshot;

  Progress(Member member, long nextIndex, Duration active) {
    this.member = member;
    this.nextIndex = nextIndex;
    this.heardAt = active;
  }

  /**
   * Records a response.
   *
   * @param sentAt when the leader sent the message that it answers
   * @param now the current time
   * @param active the leader's active time
   */
  void recordResponse(Instant sentAt, Instant now, Duration active) {
    lastReceivedAt = now;
    heardAt = active;
    if (sentAt.isAfter(lastResponseAt)) {
      lastResponseAt = sentAt;
      lastTripMillis = Duration.between(sentAt, now).toMillis();
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
