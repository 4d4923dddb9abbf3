package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how often requests are sent again, for each service.
 *
 * <p>All entries together may repeat a share of the requests of the newest seconds. Each entry
 * keeps that share for its own requests, so the sum keeps it too without a word between them. A few
 * repeats are free, so that an entry with little to do may repeat at all.
 */
final class RetryBudget {

  private static final int WINDOW_SECONDS = 10;

  /**
   * Free repeats of an entry in a window; with 63 entries far below the slack of any deployment.
   */
  private static final int FREE_RETRIES = 1;

  private final double ratio;
  private final Map<String, Window> windows = new HashMap<>();

  /**
   * Makes a budget.
   *
   * @param ratio repeats for each request in ten seconds
   */
  RetryBudget(double ratio) {
    this.ratio = ratio;
  }

  /** Counts a request that goes to a service for the first time. */
  void recordRequest(String service, Instant now) {
    window(service, now).requests[slot(now)]++;
  }

  /** Counts a repeat if the budget allows it. */
  boolean tryAcquire(String service, Instant now) {
    Window window = window(service, now);
    if (sum(window.repeats) + 1 > ratio * sum(window.requests) + FREE_RETRIES) {
      return false;
    }
    window.repeats[slot(now)]++;
    return true;
  }

  private Window window(String service, Instant now) {
    Window window = windows.computeIfAbsent(service, missing -> new Window());
    window.moveTo(now.getEpochSecond());
    return window;
  }

  private static int slot(Instant now) {
    return (int) Math.floorMod(now.getEpochSecond(), (long) WINDOW_SECONDS);
  }

  private static int sum(int[] counts) {
    int sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return sum;
  }

  private static final class Window {
    private final int[] requests = new int[WINDOW_SECONDS];
    private final int[] repeats = new int[WINDOW_SECONDS];
    private long second;

    private void moveTo(long newest) {
      long from = Math.max(second + 1, newest - WINDOW_SECONDS + 1);
      for (long passed = from; passed <= newest; passed++) {
        int slot = (int) Math.floorMod(passed, (long) WINDOW_SECONDS);
        requests[slot] = 0;
        repeats[slot] = 0;
      }
      second = Math.max(second, newest);
    }
  }
}
