package org.skylarkfork.core.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Replays engines that are down until they restart together, cold, and fail under too many
 * requests.
 */
final class ColdStartReplay {

  /** Requests within one second above which a cold engine fails. */
  private static final int MAX_COLD_REQUESTS = 32;

  private static final double MILLIS_PER_SECOND = 1000;

  private final ColdStart cold;
  private final double restartAt;
  private final Set<String> engines;
  private final Set<String> failed = new HashSet<>();
  private final Map<String, List<Double>> sends = new HashMap<>();

  /**
   * Creates a replay of a joint restart.
   *
   * @param engines ids of the engines
   * @param restartAt time of the restart, in milliseconds
   * @param cold request rate that the engines can handle after the restart
   */
  ColdStartReplay(Collection<String> engines, double restartAt, ColdStart cold) {
    this.engines = Set.copyOf(engines);
    this.restartAt = restartAt;
    this.cold = cold;
  }

  /** Returns a replay without any restart. */
  static ColdStartReplay none() {
    return new ColdStartReplay(Set.of(), 0, ColdStart.NONE);
  }

  ColdStart cold() {
    return cold;
  }

  boolean isUp(String engine, double now) {
    return now >= restartAt || !engines.contains(engine);
  }

  /** Returns how long an engine stays cold, in milliseconds; 0 for a warm one. */
  long coldMillis(String engine, double now) {
    boolean back = engines.contains(engine) && now >= restartAt;
    return back ? (long) Math.max(0, restartAt + cold.millis() - now) : 0;
  }

  /** Records a request to an engine; returns false if the engine is cold and has failed. */
  boolean recordSend(String engine, double now) {
    if (coldMillis(engine, now) == 0) {
      return true;
    }
    List<Double> all = sends.computeIfAbsent(engine, first -> new ArrayList<>());
    all.add(now);
    if (all.stream().filter(at -> at > now - MILLIS_PER_SECOND).count() > MAX_COLD_REQUESTS) {
      failed.add(engine);
    }
    return !failed.contains(engine);
  }

  /** Returns the maximum number of requests that one cold engine received within a second. */
  int maxInOneSecond() {
    int most = 0;
    for (List<Double> all : sends.values()) {
      for (double from : all) {
        long count = all.stream().filter(at -> at >= from && at < from + MILLIS_PER_SECOND).count();
        most = Math.max(most, (int) count);
      }
    }
    return most;
  }
}
