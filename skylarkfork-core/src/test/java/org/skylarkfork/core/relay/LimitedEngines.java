package org.skylarkfork.core.relay;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/** Emulates engines that report a rate limit from some time on, and counts their requests. */
final class LimitedEngines {

  private static final double MILLIS_PER_SECOND = 1000;

  /**
   * Time in which the limit becomes known to the entries; requests sent in this time aren't
   * counted.
   */
  private static final double PROPAGATION_MILLIS = 3000;

  private final Set<String> engines;
  private final double from;
  private final double perSecond;
  private int sends;

  /**
   * Creates engines that report a limit.
   *
   * @param engines ids of the engines
   * @param from time of the first report, in milliseconds
   * @param perSecond requests per second that each engine accepts
   */
  LimitedEngines(Collection<String> engines, double from, double perSecond) {
    this.engines = Set.copyOf(engines);
    this.from = from;
    this.perSecond = perSecond;
  }

  /** Returns an emulation without any limit. */
  static LimitedEngines none() {
    return new LimitedEngines(List.of(), 0, 0);
  }

  /** Returns the limit that an engine reports at a time. */
  RateLimit limit(String engine, double now) {
    return engines.contains(engine) && now >= from ? new RateLimit(perSecond) : RateLimit.NONE;
  }

  /** Counts a request that is sent to an engine. */
  void recordSent(String engine, double now) {
    sends += engines.contains(engine) && now >= from + PROPAGATION_MILLIS ? 1 : 0;
  }

  /** Returns the share of the requests allowed until a time that were sent to the engines. */
  double usedShare(double millis) {
    return sends
        / (engines.size() * perSecond * (millis - from - PROPAGATION_MILLIS) / MILLIS_PER_SECOND);
  }
}
