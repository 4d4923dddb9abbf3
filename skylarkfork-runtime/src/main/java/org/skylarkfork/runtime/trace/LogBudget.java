package org.skylarkfork.runtime.trace;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the log lines of a second, for each part and for warnings apart from the rest.
 *
 * <p>A burst of requests would otherwise write more lines than the disk takes, and the lines that
 * tell of failures would come after those of successes. Used by one thread only.
 */
final class LogBudget {

  /** Lines of a kind in a second; a busy entry ends about 30 requests in one. */
  private static final int LINES = 100;

  private static final long MILLIS_A_SECOND = 1000;

  private final Map<String, Integer> used = new HashMap<>();
  private long second;
  private long left;

  /**
   * Counts a line.
   *
   * @param kind part and level of the line
   * @param millis the present time in milliseconds
   * @return whether it may be written
   */
  boolean take(String kind, long millis) {
    long now = Math.floorDiv(millis, MILLIS_A_SECOND);
    if (now != second) {
      second = now;
      used.clear();
    }
    int lines = used.merge(kind, 1, Integer::sum);
    if (lines > LINES) {
      left++;
      return false;
    }
    return true;
  }

  /** Returns how many lines were left out since the last call. */
  long leftOut() {
    long count = left;
    left = 0;
    return count;
  }
}
