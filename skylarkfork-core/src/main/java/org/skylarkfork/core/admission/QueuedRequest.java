package org.skylarkfork.core.admission;

import java.time.Instant;
import java.util.Comparator;
import org.skylarkfork.core.configuration.Team;

/**
 * A request that is queued or was admitted.
 *
 * @param requestId id of the request
 * @param lane lane of the request
 * @param team team that sent the request
 * @param priority 0 is the most urgent
 * @param deadline time after which the caller no longer wants the answer
 * @param cost estimated work: tokens of a draft, 1 for a call
 * @param sequence number that increases with each arrival
 */
record QueuedRequest(
    String requestId,
    Lane lane,
    Team team,
    int priority,
    Instant deadline,
    long cost,
    long sequence) {

  /** Order within a team: the most urgent first, then by deadline, then by arrival. */
  static final Comparator<QueuedRequest> ORDER =
      Comparator.comparingInt(QueuedRequest::priority)
          .thenComparing(QueuedRequest::deadline)
          .thenComparingLong(QueuedRequest::sequence);
}
