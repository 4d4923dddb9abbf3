package org.skylarkfork.core.waiting;

import java.time.Duration;
import java.time.Instant;

/** One run of an upstream as the shared queue of its service sees it. */
final class PooledUpstream {

  /** Weight of the newest call in the mean duration, so that a spike of 600 ms is visible. */
  private static final double SMOOTHING = 0.125;

  private static final Duration INITIAL_PAUSE = Duration.ofMillis(600);
  private static final int MAX_DOUBLINGS = 3;

  /**
   * Time between two steps of a limit. Refusals of calls that were granted together count once, and
   * an upstream with six slots is back at its limit half a second after its first success.
   */
  private static final Duration LIMIT_STEP = Duration.ofMillis(100);

  /** Time for which a full upstream that states no backoff gets no call. */
  private static final Duration FULL_PAUSE = Duration.ofMillis(50);

  /**
   * Longest time for which an upstream gets no call because it asked one entry for a backoff; it
   * may accept the calls of others.
   */
  private static final Duration MAX_FULL_PAUSE = Duration.ofSeconds(1);

  /**
   * Time from the end of a call until the next one reaches the upstream, in milliseconds: the
   * answer, the report, the grant and the call each cross the network. Without calls that wait at
   * the upstream for that time, slots of calls of 43 ms were unused for an eighth of the time.
   */
  static final double HANDOVER_MILLIS = 8;

  /** Time for which an upstream that refused a call beyond its slots gets no such call. */
  private static final Duration NO_SPARE_PAUSE = Duration.ofSeconds(10);

  private SlotUpstream status;
  private int running;
  private int cut = Integer.MAX_VALUE;
  private double durationMillis;
  private int failuresInRow;
  private Instant avoidedUntil = Instant.EPOCH;
  private Instant fullUntil = Instant.EPOCH;
  private Instant noSpareUntil = Instant.EPOCH;
  private Instant limitChangedAt = Instant.EPOCH;
  private Instant answeredAt = Instant.EPOCH;

  PooledUpstream(SlotUpstream status, double durationMillis) {
    this.status = status;
    this.durationMillis = durationMillis;
  }

  SlotUpstream status() {
    return status;
  }

  void updateStatus(SlotUpstream newer) {
    status = newer;
  }

  int running() {
    return running;
  }

  /** Returns how many calls the upstream may run now. */
  int limit() {
    return Math.max(1, Math.min(status.slots(), cut));
  }

  double durationMillis() {
    return durationMillis;
  }

  /** Returns whether the upstream is used only if no other is available. */
  boolean isAvoided(Instant now) {
    return now.isBefore(avoidedUntil);
  }

  /** Returns the time for which the upstream gets no call because it is full, in milliseconds. */
  long fullMillis(Instant now) {
    return Math.max(0, Duration.between(now, fullUntil).toMillis());
  }

  boolean hasFreeSlot(Instant now) {
    return running < limit() && !now.isBefore(fullUntil);
  }

  /**
   * Returns whether the upstream may get a call beyond its limit, which waits there for the next
   * slot: as many as its slots end calls while a grant is on its way. None if the limit is lowered
   * or the upstream has refused such a call.
   */
  boolean hasSpare(Instant now) {
    int slots = status.slots();
    long spare = (long) Math.ceil(slots * HANDOVER_MILLIS / Math.max(1, durationMillis));
    return running < slots + Math.min(slots / 2, spare)
        && cut >= slots
        && !now.isBefore(noSpareUntil)
        && !now.isBefore(fullUntil);
  }

  void recordGranted() {
    running++;
  }

  void recordReleased() {
    running--;
  }

  void recordEnded(double millis, Instant now) {
    durationMillis += SMOOTHING * (millis - durationMillis);
    failuresInRow = 0;
    avoidedUntil = Instant.EPOCH;
    answeredAt = now;
    if (cut < status.slots() && !now.isBefore(limitChangedAt.plus(LIMIT_STEP))) {
      changeCut(cut + 1, now);
    }
  }

  /**
   * Records that the upstream refused a call, which is not counted as running any more. Only a
   * refusal within its slots lowers the limit.
   */
  void recordFull(long backoffMillis, Instant now) {
    Duration pause = FULL_PAUSE;
    if (backoffMillis > 0) {
      pause = Duration.ofMillis(Math.min(backoffMillis, MAX_FULL_PAUSE.toMillis()));
    }
    Instant until = now.plus(pause);
    fullUntil = until.isAfter(fullUntil) ? until : fullUntil;
    if (running >= status.slots()) {
      noSpareUntil = now.plus(NO_SPARE_PAUSE);
    } else if (!now.isBefore(limitChangedAt.plus(LIMIT_STEP))) {
      changeCut(Math.max(1, limit() / 2), now);
    }
  }

  /** Records a failure; the third in a row and further ones cause a pause. */
  void recordFailed(Instant now) {
    failuresInRow++;
    if (failuresInRow > 2) {
      avoid(now);
    }
  }

  /**
   * Records that the upstream seems to be gone. After the pause it gets one call at a time until
   * one succeeds.
   */
  void recordGone(Instant now) {
    failuresInRow++;
    avoid(now);
    changeCut(1, now);
  }

  /**
   * Records that a call got no answer while no other ended well. The limit is kept: in a latency
   * spike all upstreams are silent, and together they must keep their capacity.
   */
  void recordSilent(Instant now) {
    failuresInRow++;
    avoid(now);
  }

  /** Returns whether no call has ended well since a time in milliseconds since 1970. */
  boolean isSilentSince(long millis) {
    return answeredAt.toEpochMilli() < millis;
  }

  private void avoid(Instant now) {
    int doublings = Math.min(MAX_DOUBLINGS, failuresInRow - 1);
    avoidedUntil = now.plus(INITIAL_PAUSE.multipliedBy(1L << doublings));
  }

  private void changeCut(int newCut, Instant now) {
    cut = newCut;
    limitChangedAt = now;
  }
}
