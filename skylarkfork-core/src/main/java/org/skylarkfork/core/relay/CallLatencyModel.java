package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Expects times of calls to plain services, from the mean of their answers. */
final class CallLatencyModel {

  /** Weight of the newest answer; the newest 20 make most of the mean. */
  private static final double LEARNING = 0.05;

  /** Time of a call before the first answer, in milliseconds; only ranks upstreams until then. */
  private static final double FIRST_MILLIS = 40;

  private final Map<String, Double> meanMillis = new HashMap<>();

  /** Expects a call to wait once all slots of the upstream are taken. */
  Placement estimate(RelayService service, TrackedUpstream track, Instant now) {
    double mean = meanMillis.getOrDefault(service.name(), FIRST_MILLIS);
    int slots = Math.max(1, track.instance().slots());
    double wait = mean * track.running(now) / slots;
    double work = mean * track.relativeLatency().factor(now);
    return new Placement(track, wait, work, wait + work, 0, null);
  }

  void recordFirstByte(RelayService service, Placement placement, double millis, Instant now) {
    double mean = meanMillis.getOrDefault(service.name(), FIRST_MILLIS);
    meanMillis.put(service.name(), mean + LEARNING * (millis - mean));
    placement.upstream().relativeLatency().recordAnswer(millis, mean + placement.waitMillis(), now);
  }
}
