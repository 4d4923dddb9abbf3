package org.skylarkfork.core.fairshare;

import java.util.HashMap;
import java.util.Map;

/** Work of shifted attempts that wait at engines, by engine and urgency. */
final class ShiftedWork {

  /** Number of urgencies that engines distinguish. */
  private static final int URGENCIES = 10;

  private final Map<String, Waiting> byEngine = new HashMap<>();

  private static final class Waiting {
    final double[] millis = new double[URGENCIES];
    int attempts;
  }

  /** Adds the work of an attempt that is sent to an engine. */
  void add(String engine, int urgency, double workMillis) {
    Waiting waiting = byEngine.computeIfAbsent(engine, missing -> new Waiting());
    waiting.millis[urgency] += workMillis;
    waiting.attempts++;
  }

  /** Removes the work of an attempt that was added and doesn't wait any more. */
  void remove(String engine, int urgency, double workMillis) {
    Waiting waiting = byEngine.get(engine);
    if (waiting == null) {
      return;
    }
    waiting.millis[urgency] = Math.max(0, waiting.millis[urgency] - workMillis);
    waiting.attempts--;
    if (waiting.attempts == 0) {
      byEngine.remove(engine);
    }
  }

  /** Returns the work of shifted attempts that an attempt of some urgency passes at an engine. */
  double behind(String engine, int urgency) {
    Waiting waiting = byEngine.get(engine);
    double sum = 0;
    for (int later = urgency + 1; waiting != null && later < URGENCIES; later++) {
      sum += waiting.millis[later];
    }
    return sum;
  }
}
