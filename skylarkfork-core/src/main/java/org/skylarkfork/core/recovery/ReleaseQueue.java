package org.skylarkfork.core.recovery;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Requests that arrived before their entry was ready to serve them.
 *
 * <p>An entry that has just started, or whose control VMs are electing a leader, is ready again
 * within a second. A caller that is rejected instead retries at most once and meets the same state.
 *
 * @param <T> type of the requests
 */
public final class ReleaseQueue<T> {

  private final QueueBounds bounds;
  private final Map<Long, PendingRequest<T>> byNumber = new LinkedHashMap<>();
  private long bodyBytes;

  /**
   * Creates an empty queue.
   *
   * @param bounds how many requests may wait
   */
  public ReleaseQueue(QueueBounds bounds) {
    this.bounds = bounds;
  }

  /** Adds a request; returns false if the bounds don't allow it. */
  public boolean add(PendingRequest<T> request) {
    if (!bounds.allows(byNumber.size(), bodyBytes, request.bodyBytes())) {
      return false;
    }
    remove(request.number());
    byNumber.put(request.number(), request);
    bodyBytes += request.bodyBytes();
    return true;
  }

  /** Removes a request; returns whether it was pending. */
  public boolean remove(long number) {
    PendingRequest<T> removed = byNumber.remove(number);
    if (removed != null) {
      bodyBytes -= removed.bodyBytes();
    }
    return removed != null;
  }

  /** Returns the number of pending requests. */
  public int count() {
    return byNumber.size();
  }

  /** Returns the size of the bodies of the pending requests, in bytes. */
  public long bodyBytes() {
    return bodyBytes;
  }

  /**
   * Removes and returns the requests that are servable and those whose wait has expired.
   *
   * @param servable returns whether a request can be admitted or rejected now
   * @param needs returns what the configuration says about a request
   * @param now the current time
   */
  public Release<T> release(Predicate<T> servable, Function<T, RequestNeeds> needs, Instant now) {
    List<ReleaseOrder.Candidate<T>> candidates = new ArrayList<>();
    List<PendingRequest<T>> expired = new ArrayList<>();
    for (PendingRequest<T> pending : byNumber.values()) {
      RequestNeeds pendingNeeds = needs.apply(pending.request());
      if (servable.test(pending.request())) {
        candidates.add(ReleaseOrder.Candidate.of(pending, pendingNeeds, now));
      } else if (!now.isBefore(WaitLimit.expiry(pending, pendingNeeds))) {
        expired.add(pending);
      }
    }
    candidates.sort(new ReleaseOrder());
    List<PendingRequest<T>> released = new ArrayList<>();
    int inObjective = 0;
    for (ReleaseOrder.Candidate<T> candidate : candidates) {
      released.add(candidate.request());
      inObjective += candidate.inObjective() ? 1 : 0;
    }
    released.forEach(pending -> remove(pending.number()));
    expired.forEach(pending -> remove(pending.number()));
    return new Release<>(released, expired, inObjective);
  }
}
