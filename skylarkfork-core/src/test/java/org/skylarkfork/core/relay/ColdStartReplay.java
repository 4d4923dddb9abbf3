package org.skylarkfork.core.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Engines that are away until they come back together, cold, and fall over under too much. */
final class ColdStartReplay {

  /** Requests in a second under which a cold engine falls over. */
  private static final int FALLS_OVER = 32;

  private static final double SECOND = 1000;

  private final ColdStart cold;
  private final double returnAt;
  private final Set<String> engines;
  private final Set<String> fallen = new HashSet<>();
  private final Map<String, List<Double>> sends = new HashMap<>();

  /**
   * Makes the engines' return.
   *
   * @param engines their ids
   * @param returnAt when they come back, in milliseconds
   * @param cold what they bear then
   */
  ColdStartReplay(Collection<String> engines, double returnAt, ColdStart cold) {
    this.engines = Set.copyOf(engines);
    this.returnAt = returnAt;
    this.cold = cold;
  }

  /** Returns the replay of engines that are always there. */
  static ColdStartReplay none() {
    return new ColdStartReplay(Set.of(), 0, ColdStart.NONE);
  }

  ColdStart cold() {
    return cold;
  }

  boolean isUp(String engine, double now) {
    return now >= returnAt || !engines.contains(engine);
  }

  /** Returns how long an engine stays cold, in milliseconds; 0 for a warm one. */
  long coldMillis(String engine, double now) {
    boolean back = engines.contains(engine) && now >= returnAt;
    return back ? (long) Math.max(0, returnAt + cold.millis() - now) : 0;
  }

  /** Counts a request at an engine; returns false where a cold one has fallen over. */
  boolean recordSend(String engine, double now) {
    if (coldMillis(engine, now) == 0) {
      return true;
    }
    List<Double> all = sends.computeIfAbsent(engine, first -> new ArrayList<>());
    all.add(now);
    if (all.stream().filter(at -> at > now - SECOND).count() > FALLS_OVER) {
      fallen.add(engine);
    }
    return !fallen.contains(engine);
  }

  /** Returns the most requests that one cold engine got within a second. */
  int mostInOneSecond() {
    int most = 0;
    for (List<Double> all : sends.values()) {
      for (double from : all) {
        long count = all.stream().filter(at -> at >= from && at < from + SECOND).count();
        most = Math.max(most, (int) count);
      }
    }
    return most;
  }
}
