package org.skylarkfork.core.returning;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/** The retry times of refused callers, by service. */
public final class ReturnSchedules {

  /** Maximum number of services; the one that was used least recently is forgotten. */
  private static final int MAX_SERVICES = 256;

  private static final float LOAD_FACTOR = 0.75f;

  private final boolean spread;
  private final Map<String, RetryTimes> byService =
      new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RetryTimes> eldest) {
          return size() > MAX_SERVICES;
        }
      };

  /**
   * Creates empty schedules.
   *
   * @param spread whether callers that are refused together get different times; without, each is
   *     given the expected wait as it is
   */
  public ReturnSchedules(boolean spread) {
    this.spread = spread;
  }

  /** Returns whether callers that are refused together get different times. */
  public boolean spread() {
    return spread;
  }

  /** Records that a request of a service has ended, so that capacity became free. */
  public void recordEnd(String service, Instant now) {
    if (spread) {
      schedule(service).recordEnd(now);
    }
  }

  /**
   * Returns the retry delay to tell a refused caller, in milliseconds; 0 to tell it none.
   *
   * @param service service that the request is for; empty for a caller that was refused before its
   *     service was known
   * @param expectedWaitMillis time until capacity is expected to be free, in milliseconds; 0 if
   *     retrying isn't worthwhile
   * @param rank rank of the request; 0 is the most urgent
   * @param remainingMillis time that the caller has left, in milliseconds
   * @param now the present time
   */
  public long delayMillis(
      String service, long expectedWaitMillis, int rank, long remainingMillis, Instant now) {
    return !spread || expectedWaitMillis <= 0
        ? expectedWaitMillis
        : schedule(service).delayMillis(expectedWaitMillis, rank, remainingMillis, now);
  }

  private RetryTimes schedule(String service) {
    return byService.computeIfAbsent(service, missing -> new ReturnSchedule());
  }
}
