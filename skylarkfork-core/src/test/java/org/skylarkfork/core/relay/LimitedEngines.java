package org.skylarkfork.core.relay;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/** Engines of a replayed load that name a rate limit from a time on, and what they get. */
final class LimitedEngines {

  private static final double SECOND = 1000;

  /** Time in which the limit becomes known; what is sent meanwhile isn't counted. */
  private static final double KNOWN = 3000;

  private final Set<String> engines;
  private final double from;
  private final double perSecond;
  private int sends;

  /**
   * Makes engines that name a limit.
   *
   * @param engines their ids
   * @param from when they begin to name it, in milliseconds
   * @param perSecond requests a second that each of them takes
   */
  LimitedEngines(Collection<String> engines, double from, double perSecond) {
    this.engines = Set.copyOf(engines);
    this.from = from;
    this.perSecond = perSecond;
  }

  /** Returns the replay of engines that name no limit. */
  static LimitedEngines none() {
    return new LimitedEngines(List.of(), 0, 0);
  }

  /** Returns what an engine names at a time. */
  RateLimit limit(String engine, double now) {
    return engines.contains(engine) && now >= from ? new RateLimit(perSecond) : RateLimit.NONE;
  }

  /** Counts a request that is sent to an engine. */
  void recordSent(String engine, double now) {
    sends += engines.contains(engine) && now >= from + KNOWN ? 1 : 0;
  }

  /** Returns the share of what the engines took until a time that they were sent. */
  double usedShare(double millis) {
    return sends / (engines.size() * perSecond * (millis - from - KNOWN) / SECOND);
  }
}
