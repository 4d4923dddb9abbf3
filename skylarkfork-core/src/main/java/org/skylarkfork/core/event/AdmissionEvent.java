package org.skylarkfork.core.event;

import org.skylarkfork.core.error.RoutingError;

/** What becomes of requests that had to wait; raised within the reducer. */
public sealed interface AdmissionEvent extends Event {

  /**
   * A waiting request may start now.
   *
   * @param requestId id of the request
   */
  record Admitted(String requestId) implements AdmissionEvent {}

  /**
   * A waiting request is refused; it was not run.
   *
   * @param requestId id of the request
   * @param error why, and when to come back
   */
  record WaitRefused(String requestId, RoutingError error) implements AdmissionEvent {}
}
