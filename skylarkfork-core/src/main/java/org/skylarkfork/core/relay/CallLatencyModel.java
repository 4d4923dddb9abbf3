package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Estimates the times of calls to plain services from the mean of their answers. */
final class CallLatencyModel {

  /** Weight of the newest answer; the newest 20 make up most of the mean. */
  private static final double SMOOTHING = 0.05;

  /**
   * Time of a call that is assumed before the first answer, in milliseconds; only ranks upstreams
   * until then.
   */
  private static final double INITIAL_MILLIS = 40;

  private final Map<String, Double> meanMillis = new HashMap<>();

  /** Estimates the times of a call; its wait grows with the requests per slot of the upstream. */
  Placement estimate(RelayService service, TrackedUpstream upstream, Instant now) {
    double mean = meanMillis.getOrDefault(service.name(), INITIAL_MILLIS);
    int slots = Math.max(1, upstream.instance().slots());
    double wait = mean * upstream.running(now) / slots;
    double work = mean * upstream.relativeLatency().factor(now);
    return new Placement(upstream, wait, work, wait + work, 0, null);
  }

  void recordFirstByte(RelayService service, Placement placement, double millis, Instant now) {
    double mean = meanMillis.getOrDefault(service.name(), INITIAL_MILLIS);
    meanMillis.put(service.name(), mean + SMOOTHING * (millis - mean));
    placement.upstream().relativeLatency().recordAnswer(millis, mean + placement.waitMillis(), now);
  }
}
