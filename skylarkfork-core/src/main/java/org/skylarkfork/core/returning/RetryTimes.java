package org.skylarkfork.core.returning;

import java.time.Instant;

/** Chooses the retry times that the refused callers of one service receive. */
public interface RetryTimes {

  /**
   * Records that a request of the service has ended, so that capacity became free.
   *
   * @param now the present time
   */
  void recordEnd(Instant now);

  /**
   * Returns the retry delay to tell a refused caller, in milliseconds; 0 to tell it none.
   *
   * @param expectedWaitMillis time until capacity is expected to be free, in milliseconds
   * @param rank rank of the request; 0 is the most urgent
   * @param remainingMillis time that the caller has left, in milliseconds
   * @param now the present time
   */
  long delayMillis(long expectedWaitMillis, int rank, long remainingMillis, Instant now);
}
