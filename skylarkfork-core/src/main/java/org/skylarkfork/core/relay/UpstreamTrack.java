package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;

/** What an entry knows of one upstream from its own attempts. */
final class UpstreamTrack {

  private static final Duration FIRST_PAUSE = Duration.ofMillis(600);
  private static final int MAX_DOUBLINGS = 3;
  private static final double LEARNING = 0.15;

  private UpstreamStatus status;
  private int running;
  private double workMillis;
  private int failuresInRow;
  private double failureShare;
  private Instant avoidedUntil = Instant.EPOCH;
  private Instant answeredAt = Instant.EPOCH;
  private boolean wrongRun;

  UpstreamTrack(UpstreamStatus status) {
    this.status = status;
  }

  UpstreamInstance instance() {
    return status.instance();
  }

  UpstreamCondition condition() {
    return wrongRun ? UpstreamCondition.LEAVING : status.condition();
  }

  void told(UpstreamStatus newer) {
    boolean leaving = status.condition() == UpstreamCondition.LEAVING;
    UpstreamCondition condition = leaving ? UpstreamCondition.LEAVING : newer.condition();
    status = new UpstreamStatus(newer.instance(), condition);
  }

  void leaves() {
    status = new UpstreamStatus(status.instance(), UpstreamCondition.LEAVING);
  }

  /** Takes note that another run answers at this address. */
  void answeredByOther() {
    wrongRun = true;
  }

  int running() {
    return running;
  }

  /** Returns the work of this entry that is under way there, in milliseconds of the upstream. */
  double workMillis() {
    return workMillis;
  }

  double failureShare() {
    return failureShare;
  }

  boolean avoided(Instant now) {
    return now.isBefore(avoidedUntil);
  }

  void began(double millis) {
    running++;
    workMillis += millis;
  }

  void ended(double millis) {
    running--;
    workMillis = running == 0 ? 0 : Math.max(0, workMillis - millis);
  }

  /** Returns whether nothing has come from the upstream since a time. */
  boolean silentSince(Instant time) {
    return answeredAt.isBefore(time);
  }

  /** Takes note of the beginning of an answer. */
  void answered(Instant now) {
    answeredAt = now;
  }

  void succeeded() {
    failuresInRow = 0;
    failureShare -= LEARNING * failureShare;
    avoidedUntil = Instant.EPOCH;
  }

  /**
   * Takes note of a failure; the upstream is tried again after a pause that doubles.
   *
   * @param hard whether it seems to be gone, so that the first failure counts
   */
  void failed(boolean hard, Instant now) {
    failureShare += LEARNING * (1 - failureShare);
    failuresInRow++;
    if (hard || failuresInRow > 2) {
      int doublings = Math.min(MAX_DOUBLINGS, failuresInRow - 1);
      avoidedUntil = now.plus(FIRST_PAUSE.multipliedBy(1L << doublings));
    }
  }
}
