package org.skylarkfork.core.recovery;

import java.time.Duration;
import java.time.Instant;

/** Decides how long a request waits for its entry to become ready. */
final class WaitLimit {

  /**
   * Shortest limit at an entry that has not served since its start. After a full outage the entries
   * run for 1.2 s before they are allowed to serve, and all entries reach that point at the same
   * time. An engine answers in 0.2 s, so a stream that waited this long still begins within its
   * objective.
   */
  private static final long STARTUP_MILLIS = 1500;

  /**
   * Share of the objective that a request may wait at an entry that has not served since its start;
   * the rest is left for the work.
   */
  private static final double OBJECTIVE_SHARE = 0.8;

  /** Limit at an entry that has served before. It may be partitioned while other entries serve. */
  private static final long DISCONNECTED_MILLIS = 900;

  /** Maximum share of the caller's timeout that a request waits; the rest is left for the work. */
  private static final double CALLER_SHARE = 0.8;

  private WaitLimit() {}

  /**
   * Returns when the wait of a request ends. The limit isn't fixed when the request arrives, since
   * an entry learns the objectives of its routes while requests already wait.
   *
   * @param request the request
   * @param needs what the configuration says about the request at present
   */
  static Instant expiry(PendingRequest<?> request, RequestNeeds needs) {
    long limit =
        request.starting()
            ? Math.max(STARTUP_MILLIS, (long) (needs.objectiveMillis() * OBJECTIVE_SHARE))
            : DISCONNECTED_MILLIS;
    long callerLimit = (long) (request.callerMillis() * CALLER_SHARE);
    long millis = callerLimit > 0 ? Math.min(limit, callerLimit) : limit;
    return request.arrivedAt().plus(Duration.ofMillis(millis));
  }
}
