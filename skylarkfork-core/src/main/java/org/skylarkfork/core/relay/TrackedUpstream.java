package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.skylarkfork.core.placement.PeerLoads;
import org.skylarkfork.core.placement.PrefixCacheEstimate;
import org.skylarkfork.core.placement.RelativeLatency;

/** What an entry knows of one start of an upstream, from its own attempts and other entries. */
final class TrackedUpstream {

  private static final Duration FIRST_PAUSE = Duration.ofMillis(600);
  private static final int MAX_DOUBLINGS = 3;
  private static final double LEARNING = 0.15;

  private UpstreamStatus status;
  private int running;
  private double waitingMillis;
  private final PrefixCacheEstimate prefixCache = new PrefixCacheEstimate();
  private final RelativeLatency relativeLatency = new RelativeLatency();
  private final PeerLoads peerLoads = new PeerLoads();
  private int failuresInRow;
  private double failureShare;
  private Instant avoidedUntil = Instant.EPOCH;
  private Instant answeredAt = Instant.EPOCH;
  private final SendWindow sends = new SendWindow(ColdStartLimiter.WINDOW);
  private Instant coldUntil = Instant.EPOCH;
  private final TrackedRateLimit rate = new TrackedRateLimit();
  private boolean replaced;
  private boolean evacuated;

  TrackedUpstream(UpstreamStatus status) {
    this.status = status;
  }

  UpstreamInstance instance() {
    return status.instance();
  }

  UpstreamCondition condition() {
    if (replaced || status.condition() == UpstreamCondition.LEAVING) {
      return UpstreamCondition.LEAVING;
    }
    return evacuated ? UpstreamCondition.EVACUATED : status.condition();
  }

  /** Takes note of whether its availability zone is evacuated. */
  void evacuated(boolean now) {
    evacuated = now;
  }

  /** Returns until when it is believed to be cold. */
  Instant coldUntil() {
    return coldUntil;
  }

  void coldUntil(Instant until) {
    coldUntil = until;
  }

  boolean isCold(Instant now) {
    return now.isBefore(coldUntil);
  }

  /** Returns what is known of its rate limit. */
  TrackedRateLimit rate() {
    return rate;
  }

  /** Returns the rate limit that it named last. */
  RateLimit rateLimit() {
    return rate.limit();
  }

  /** Returns how many requests were sent there within {@link ColdStartLimiter#WINDOW}. */
  int recentSends(Instant now) {
    return sends.count(now);
  }

  void updateStatus(UpstreamStatus newer) {
    boolean leaving = status.condition() == UpstreamCondition.LEAVING;
    UpstreamCondition condition = leaving ? UpstreamCondition.LEAVING : newer.condition();
    status = new UpstreamStatus(newer.instance(), condition);
  }

  void markLeaving() {
    status = new UpstreamStatus(status.instance(), UpstreamCondition.LEAVING);
  }

  /** Takes note that another run answers at this address. */
  void markReplaced() {
    replaced = true;
  }

  /** Returns the requests of this entry that run or wait there. */
  int ownRunning() {
    return running;
  }

  /** Returns the reading there for requests of this entry whose answer has not begun. */
  double ownWaitingMillis() {
    return waitingMillis;
  }

  /** Returns the requests of all entries that run or wait there, as far as they tell. */
  int running(Instant now) {
    return running + peerLoads.running(now);
  }

  /** Returns the reading there for requests of all entries whose answer has not begun. */
  double waitingMillis(Instant now) {
    return waitingMillis + peerLoads.waitingMillis(now);
  }

  PrefixCacheEstimate prefixCache() {
    return prefixCache;
  }

  RelativeLatency relativeLatency() {
    return relativeLatency;
  }

  PeerLoads peerLoads() {
    return peerLoads;
  }

  double failureShare() {
    return failureShare;
  }

  boolean isAvoided(Instant now) {
    return now.isBefore(avoidedUntil);
  }

  /** Takes note of an attempt that is sent there. */
  void recordSent(double workMillis, Instant now) {
    sends.recordSend(now);
    running++;
    waitingMillis += workMillis;
  }

  /** Takes note that the upstream has done the reading for an attempt. */
  void recordBegun(double workMillis) {
    waitingMillis = Math.max(0, waitingMillis - workMillis);
  }

  /** Takes note of the end of an attempt, with the reading that it still waited for. */
  void recordEnded(double workMillis) {
    recordBegun(workMillis);
    running--;
    waitingMillis = running == 0 ? 0 : waitingMillis;
  }

  /** Returns whether nothing has come from the upstream since a time. */
  boolean isSilentSince(Instant time) {
    return answeredAt.isBefore(time);
  }

  /** Takes note of the beginning of an answer. */
  void recordAnswered(Instant now) {
    answeredAt = now;
  }

  void recordSuccess() {
    failuresInRow = 0;
    failureShare -= LEARNING * failureShare;
    avoidedUntil = Instant.EPOCH;
  }

  /**
   * Takes note of a failure; the upstream is tried again after a pause that doubles.
   *
   * @param hard whether it seems to be gone, so that the first failure counts
   */
  void recordFailure(boolean hard, Instant now) {
    failureShare += LEARNING * (1 - failureShare);
    failuresInRow++;
    if (hard || failuresInRow > 2) {
      int doublings = Math.min(MAX_DOUBLINGS, failuresInRow - 1);
      avoidedUntil = now.plus(FIRST_PAUSE.multipliedBy(1L << doublings));
    }
  }
}
