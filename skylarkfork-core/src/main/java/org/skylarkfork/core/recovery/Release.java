package org.skylarkfork.core.recovery;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * The requests that leave a queue at one time.
 *
 * @param <T> type of the requests
 * @param servable requests that can be admitted or rejected now, in the order of the release
 * @param expired requests whose wait has expired, in the order of their arrival; none of them has
 *     run
 * @param inObjective number of servable requests that can still meet their objective
 */
public record Release<T>(
    List<PendingRequest<T>> servable, List<PendingRequest<T>> expired, int inObjective) {

  /** Copies the lists. */
  public Release {
    servable = List.copyOf(servable);
    expired = List.copyOf(expired);
  }

  /** Returns the longest time that a servable request has waited; zero if there is none. */
  public Duration longestWait(Instant now) {
    return servable.stream()
        .map(request -> request.waited(now))
        .max(Duration::compareTo)
        .orElse(Duration.ZERO);
  }
}
