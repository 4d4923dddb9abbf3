package org.skylarkfork.core.admission;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.request.CallerRequest;

/** Decides whether a request may start now. */
public interface Admission {

  /**
   * Admits, queues or refuses a request.
   *
   * <p>For each queued request, one {@code AdmissionEvent} follows that admits or refuses it.
   *
   * @param request the request
   * @param team the team that sent the request
   * @param priority priority after the rules, from 0, the most urgent, to 9
   * @param now the present time
   */
  Result submit(CallerRequest request, Team team, int priority, Instant now);

  /**
   * Releases the slot and the unused tokens of an admitted request, or removes a queued request
   * from its queue.
   *
   * @param requestId id of the request; an unknown one is ignored
   * @param tokens tokens that the request used
   * @param now the present time
   */
  void release(String requestId, long tokens, Instant now);

  /**
   * The result of {@link #submit}.
   *
   * @param decision the decision on the request
   * @param error why the request was refused, with the time until a retry; null unless refused
   */
  record Result(Decision decision, @Nullable RoutingError error) {}

  /** The decision on a request. */
  enum Decision {
    /** The request may start at once. */
    ADMITTED,
    /** The request waits in a bounded queue. */
    WAITING,
    /** The request is refused and was not run. */
    REFUSED
  }
}
