package org.skylarkfork.core.event;

import org.skylarkfork.core.error.RoutingError;

/**
 * Outcomes of requests that waited for admission; raised within the reducer by the admission part.
 */
public sealed interface AdmissionEvent extends Event {

  /**
   * Admits a waiting request, which may start now.
   *
   * @param requestId id of the request
   */
  record Admitted(String requestId) implements AdmissionEvent {}

  /**
   * Refuses a waiting request, which has not been run.
   *
   * @param requestId id of the request
   * @param error reason of the refusal, and when to retry
   */
  record WaitRefused(String requestId, RoutingError error) implements AdmissionEvent {}
}
