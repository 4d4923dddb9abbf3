package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;

/** A deployment whose upstreams fall over if they reject too many requests in a second. */
final class BrittleUpstreamsSimulation extends UpstreamNoticeSimulation {

  private static final Duration SECOND = Duration.ofSeconds(1);

  /** Number of times that an upstream fell over. */
  int falls;

  int rejected;

  private int limit = -1;
  private int capacity = Integer.MAX_VALUE;

  BrittleUpstreamsSimulation(
      long seed, int entryCount, int upstreamCount, boolean engines, int slots) {
    super(seed, entryCount, upstreamCount, engines, slots);
    running().forEach(this::onStarted);
  }

  /** Makes all upstreams state a limit of rejections; a negative one ends that. */
  void stateLimit(int perSecond) {
    limit = perSecond;
    running().forEach(this::onStarted);
  }

  /** Sets the number of requests that each upstream holds. */
  void hold(int requestsAtOnce) {
    capacity = requestsAtOnce;
    running().forEach(this::onStarted);
  }

  @Override
  void onStarted(Upstream upstream) {
    upstream.rejectionLimit = limit;
    upstream.capacity = capacity;
  }

  @Override
  void onRejected(Upstream upstream) {
    Instant now = network.now();
    rejected++;
    upstream.rejections.addLast(now);
    upstream.rejections.removeIf(earlier -> earlier.isBefore(now.minus(SECOND)));
    if (upstream.rejectionLimit >= 0 && upstream.rejections.size() > upstream.rejectionLimit) {
      falls++;
      restart(upstream);
    }
  }
}
