package org.skylarkfork.core.recovery;

import java.time.Instant;
import java.util.Comparator;

/**
 * Decides in which order requests are released: first those that can still meet their objective, by
 * rank and then by the end of their objective; then the others by deadline. Requests that are equal
 * in this are released in the order of their numbers.
 *
 * <p>The requests that are released together take the upstreams' first free slots in this order.
 * One that has missed its objective is worth less than each that hasn't, whatever their ranks.
 */
final class ReleaseOrder implements Comparator<ReleaseOrder.Candidate<?>> {

  /** Rank of all requests that have missed their objective. */
  private static final int LATE = Integer.MAX_VALUE;

  /**
   * A request that is released. The times that the order compares are computed once, since sorting
   * 512 requests compares each of them nine times.
   *
   * @param <T> type of the request
   * @param request the request
   * @param inObjective whether the request can still meet its objective
   * @param rank rank of the request if it can still meet its objective
   * @param due end of the objective, or the deadline if the objective was missed
   */
  record Candidate<T>(PendingRequest<T> request, boolean inObjective, int rank, Instant due) {

    static <T> Candidate<T> of(PendingRequest<T> request, RequestNeeds needs, Instant now) {
      return needs.inObjective(request, now)
          ? new Candidate<>(request, true, needs.rank(), needs.objectiveEnd(request))
          : new Candidate<>(request, false, LATE, needs.deadline(request));
    }
  }

  @Override
  public int compare(Candidate<?> one, Candidate<?> other) {
    if (one.inObjective != other.inObjective) {
      return one.inObjective ? -1 : 1;
    }
    int byRank = Integer.compare(one.rank, other.rank);
    int order = byRank != 0 ? byRank : one.due.compareTo(other.due);
    return order != 0 ? order : Long.compare(one.request.number(), other.request.number());
  }
}
