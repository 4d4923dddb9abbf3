package org.skylarkfork.core.admission;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.request.CallerRequest;

/** Decides whether a request may start now. */
public interface Admission {

  /**
   * Asks for a start.
   *
   * <p>A request that is told to wait is later named by one {@code AdmissionEvent}: admitted or
   * refused.
   *
   * @param request the request
   * @param team team that sent it
   * @param priority priority after rules, 0 to 9
   * @param now the present time
   */
  Result submit(CallerRequest request, Team team, int priority, Instant now);

  /**
   * Gives back what an admitted request held, or takes a waiting one out of its queue.
   *
   * @param requestId id of the request; an unknown one is ignored
   * @param tokens tokens that it used
   * @param now the present time
   */
  void release(String requestId, long tokens, Instant now);

  /**
   * An answer of {@link #submit}.
   *
   * @param decision what was decided
   * @param error why it was refused, with the time to come back; null unless refused
   */
  record Result(Decision decision, @Nullable RoutingError error) {}

  /** What was decided. */
  enum Decision {
    /** It may start at once. */
    ADMITTED,
    /** It waits in a bounded queue. */
    WAITING,
    /** It is refused and was not run. */
    REFUSED
  }
}
