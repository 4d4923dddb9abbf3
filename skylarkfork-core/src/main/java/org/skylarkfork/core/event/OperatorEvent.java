package org.skylarkfork.core.event;

import org.skylarkfork.core.request.CallerRequest;

/** What operators ask for. */
public sealed interface OperatorEvent extends Event {

  /** Returns the id by which the answer finds its way back. */
  String callId();

  /**
   * An operator asks which rule a request would match.
   *
   * @param callId id of the call
   * @param team name of the team that would send it
   * @param request the request; it is not run
   */
  record DryRun(String callId, String team, CallerRequest request) implements OperatorEvent {}
}
