package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the number of retries per service.
 *
 * <p>All entries together may retry a share of the requests of the last seconds. Each entry applies
 * that share to its own requests, so the sum complies without coordination. A few retries are free,
 * so that an entry with few requests can retry at all.
 */
final class RetryBudget {

  private static final int WINDOW_SECONDS = 10;

  /**
   * Retries that an entry may make per window regardless of its requests; with 63 entries their sum
   * is far below the spare capacity of any deployment.
   */
  private static final int FREE_RETRIES = 1;

  private final double ratio;
  private final Map<String, Window> windows = new HashMap<>();

  /**
   * Creates a budget.
   *
   * @param ratio allowed retries per request within a window of ten seconds
   */
  RetryBudget(double ratio) {
    this.ratio = ratio;
  }

  /** Records the first attempt of a request to a service. */
  void recordRequest(String service, Instant now) {
    window(service, now).requests[slot(now)]++;
  }

  /** Records a retry and returns true if the budget allows it, else returns false. */
  boolean tryAcquire(String service, Instant now) {
    Window window = window(service, now);
    if (sum(window.retries) + 1 > ratio * sum(window.requests) + FREE_RETRIES) {
      return false;
    }
    window.retries[slot(now)]++;
    return true;
  }

  private Window window(String service, Instant now) {
    Window window = windows.computeIfAbsent(service, missing -> new Window());
    window.advanceTo(now.getEpochSecond());
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
    private final int[] retries = new int[WINDOW_SECONDS];
    private long newestSecond;

    private void advanceTo(long newest) {
      long from = Math.max(newestSecond + 1, newest - WINDOW_SECONDS + 1);
      for (long expired = from; expired <= newest; expired++) {
        int slot = (int) Math.floorMod(expired, (long) WINDOW_SECONDS);
        requests[slot] = 0;
        retries[slot] = 0;
      }
      newestSecond = Math.max(newestSecond, newest);
    }
  }
}
