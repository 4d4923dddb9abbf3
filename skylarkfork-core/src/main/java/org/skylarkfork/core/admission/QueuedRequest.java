package org.skylarkfork.core.admission;

import java.time.Instant;
import java.util.Comparator;
import org.skylarkfork.core.configuration.Team;

/**
 * A request that waits.
 *
 * @param requestId id of the request
 * @param lane its lane
 * @param team its team
 * @param priority 0 is the most urgent
 * @param deadline when it is no longer wanted
 * @param cost its estimated work: tokens of a draft, 1 for a call
 * @param sequence rises with each arrival
 */
record QueuedRequest(
    String requestId,
    Lane lane,
    Team team,
    int priority,
    Instant deadline,
    long cost,
    long sequence) {

  /** Within a team: the most urgent first, then the earliest deadline, then the first come. */
  static final Comparator<QueuedRequest> ORDER =
      Comparator.comparingInt(QueuedRequest::priority)
          .thenComparing(QueuedRequest::deadline)
          .thenComparingLong(QueuedRequest::sequence);
}
