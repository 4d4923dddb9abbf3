package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.skylarkfork.core.placement.PeerLoads;
import org.skylarkfork.core.placement.PrefixCacheEstimate;
import org.skylarkfork.core.placement.RelativeLatency;

/**
 * The state of one run of an upstream as an entry knows it from its own attempts and from other
 * entries.
 */
final class TrackedUpstream {

  private static final Duration INITIAL_PAUSE = Duration.ofMillis(600);
  private static final int MAX_DOUBLINGS = 3;
  private static final double SMOOTHING = 0.15;

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
  private final StatedAvailability stated;
  private boolean leavingConfirmed;
  private boolean replaced;
  private boolean evacuated;

  TrackedUpstream(UpstreamStatus status) {
    this(status, new StatedAvailability());
  }

  /**
   * Tracks a run of an upstream that was tracked before.
   *
   * @param status the run and its condition
   * @param stated what the run has stated to this entry
   */
  TrackedUpstream(UpstreamStatus status, StatedAvailability stated) {
    this.status = status;
    this.stated = stated;
  }

  UpstreamInstance instance() {
    return status.instance();
  }

  UpstreamCondition condition() {
    if (replaced || stated.isLeaving() || status.condition() == UpstreamCondition.LEAVING) {
      return UpstreamCondition.LEAVING;
    }
    return evacuated ? UpstreamCondition.EVACUATED : status.condition();
  }

  /** Records whether the upstream's availability zone is evacuated. */
  void evacuated(boolean now) {
    evacuated = now;
  }

  /** Returns until when the upstream counts as cold. */
  Instant coldUntil() {
    return coldUntil;
  }

  void coldUntil(Instant until) {
    coldUntil = until;
  }

  boolean isCold(Instant now) {
    return now.isBefore(coldUntil);
  }

  /** Returns the state of the upstream's rate limit. */
  TrackedRateLimit rate() {
    return rate;
  }

  /** Returns the rate limit that the upstream reported last. */
  RateLimit rateLimit() {
    return rate.limit();
  }

  /** Returns how many requests were sent to the upstream within {@link ColdStartLimiter#WINDOW}. */
  int recentSends(Instant now) {
    return sends.count(now);
  }

  void updateStatus(UpstreamStatus newer) {
    boolean leaving = status.condition() == UpstreamCondition.LEAVING;
    UpstreamCondition condition = leaving ? UpstreamCondition.LEAVING : newer.condition();
    status = new UpstreamStatus(newer.instance(), condition);
  }

  /** Records that the upstream is leaving according to the control VMs' leader. */
  void markLeaving() {
    leavingConfirmed = true;
    status = new UpstreamStatus(status.instance(), UpstreamCondition.LEAVING);
  }

  /** Returns the time for which the upstream has asked this entry to send nothing. */
  RequestedBackoff backoff() {
    return stated.backoff();
  }

  /** Returns whether the upstream has stated in an answer to this entry that it is leaving. */
  boolean reportsLeaving() {
    return stated.isLeaving();
  }

  /** Records that the upstream has stated in an answer to this entry that it is leaving. */
  void markReportsLeaving() {
    stated.markLeaving();
  }

  /** Returns whether the control VMs' leader has confirmed that the upstream is leaving. */
  boolean leavingConfirmed() {
    return leavingConfirmed;
  }

  /** Returns what the run has stated to this entry about the requests that it accepts. */
  StatedAvailability stated() {
    return stated;
  }

  /** Records that another run answers at this address. */
  void markReplaced() {
    replaced = true;
  }

  /** Returns the number of this entry's requests that run or wait at the upstream. */
  int ownRunning() {
    return running;
  }

  /** Returns the work for this entry's requests whose answer has not begun, in milliseconds. */
  double ownWaitingMillis() {
    return waitingMillis;
  }

  /**
   * Returns the number of all entries' requests that run or wait at the upstream, as far as
   * reported.
   */
  int running(Instant now) {
    return running + peerLoads.running(now);
  }

  /**
   * Returns the work for all entries' requests whose answer has not begun, in milliseconds, as far
   * as reported.
   */
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

  /**
   * Forgets failures that say nothing about the upstream, since this entry's links to all upstreams
   * of the service have failed.
   */
  void forgetFailures() {
    failuresInRow = 0;
    failureShare = 0;
    avoidedUntil = Instant.EPOCH;
  }

  /** Prefers other upstreams for a time, unless this one succeeds before. */
  void avoid(Duration time, Instant now) {
    Instant until = now.plus(time);
    avoidedUntil = until.isAfter(avoidedUntil) ? until : avoidedUntil;
  }

  /** Records an attempt that is sent to the upstream, with its expected work in milliseconds. */
  void recordSent(double workMillis, Instant now) {
    sends.recordSend(now);
    running++;
    waitingMillis += workMillis;
  }

  /**
   * Records that the upstream has completed the work before an attempt's answer, in milliseconds.
   */
  void recordBegun(double workMillis) {
    waitingMillis = Math.max(0, waitingMillis - workMillis);
  }

  /** Records the end of an attempt, with its remaining work in milliseconds. */
  void recordEnded(double workMillis) {
    recordBegun(workMillis);
    running--;
    waitingMillis = running == 0 ? 0 : waitingMillis;
  }

  /** Returns whether no answer from the upstream has begun since a time. */
  boolean isSilentSince(Instant time) {
    return answeredAt.isBefore(time);
  }

  /** Records that an answer has begun. */
  void recordAnswered(Instant now) {
    answeredAt = now;
  }

  void recordSuccess() {
    failuresInRow = 0;
    failureShare -= SMOOTHING * failureShare;
    avoidedUntil = Instant.EPOCH;
  }

  /**
   * Records a failure; after a failure that counts, the upstream is avoided for a pause that
   * doubles with each further one.
   *
   * @param hard whether the upstream seems to be gone, so that the first failure counts; else
   *     failures count from the third in a row on
   */
  void recordFailure(boolean hard, Instant now) {
    failureShare += SMOOTHING * (1 - failureShare);
    failuresInRow++;
    if (hard || failuresInRow > 2) {
      int doublings = Math.min(MAX_DOUBLINGS, failuresInRow - 1);
      avoidedUntil = now.plus(INITIAL_PAUSE.multipliedBy(1L << doublings));
    }
  }
}
