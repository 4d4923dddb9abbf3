package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Requests that arrived before their entry was ready to serve them.
 *
 * <p>An entry that has just started, or whose control VMs are electing a leader, is ready again
 * within a second. A caller that is rejected instead retries at most once and meets the same state.
 */
final class PendingRequests {

  /**
   * Maximum wait at an entry that has not served since its start. After a full outage the entries
   * run for 1.2 s before they are allowed to serve, and all entries reach that point at the same
   * time. An engine answers in 0.2 s, so a stream that waited this long still begins within its
   * objective.
   */
  private static final Duration STARTUP_WAIT = Duration.ofMillis(1500);

  /**
   * Maximum wait at an entry that has served before. It may be partitioned while other entries
   * serve.
   */
  private static final Duration DISCONNECTED_WAIT = Duration.ofMillis(900);

  /**
   * Maximum share of the caller's timeout that a request waits here; the rest is left for the work.
   */
  private static final double MAX_WAIT_SHARE = 0.8;

  /** Maximum number of pending requests; with bodies of 10 kB each they take 5 MB. */
  private static final int MAX_REQUESTS = 512;

  private final Map<Long, PendingRequest> byNumber = new LinkedHashMap<>();

  /**
   * Adds a request; returns false if the maximum number of requests is pending.
   *
   * @param request the request
   * @param starting whether the entry has not served since its start
   * @param now the current time
   */
  boolean enqueue(RelayRequest request, boolean starting, Instant now) {
    if (byNumber.size() >= MAX_REQUESTS) {
      return false;
    }
    Instant expiresAt = now.plus(maxWait(request, starting));
    byNumber.put(request.number(), new PendingRequest(request, now, expiresAt));
    return true;
  }

  /** Removes a request; returns whether it was pending. */
  boolean remove(long number) {
    return byNumber.remove(number) != null;
  }

  /**
   * Removes and returns the requests that are servable or whose wait has expired.
   *
   * @param servable returns whether a request can be admitted or rejected now
   * @param now the current time
   */
  List<PendingRequest> release(Predicate<RelayRequest> servable, Instant now) {
    List<PendingRequest> released = new ArrayList<>();
    for (PendingRequest pending : byNumber.values()) {
      boolean expired = !now.isBefore(pending.expiresAt());
      if (expired || servable.test(pending.request())) {
        released.add(pending);
      }
    }
    released.forEach(pending -> byNumber.remove(pending.request().number()));
    return released;
  }

  private static Duration maxWait(RelayRequest request, boolean starting) {
    Duration limit = starting ? STARTUP_WAIT : DISCONNECTED_WAIT;
    long callerMillis = (long) (request.waitMillis() * MAX_WAIT_SHARE);
    boolean callerLimits = callerMillis > 0 && callerMillis < limit.toMillis();
    return callerLimits ? Duration.ofMillis(callerMillis) : limit;
  }
}
