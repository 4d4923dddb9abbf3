package org.skylarkfork.core.event;

import org.skylarkfork.core.request.CallerRequest;

/** Events of callers' connections, submitted by the caller-facing HTTP server. */
public sealed interface CallerEvent extends Event {

  /**
   * A complete and syntactically valid request was received.
   *
   * @param request the request
   */
  record RequestReceived(CallerRequest request) implements CallerEvent {}

  /**
   * The caller closed its connection before the complete answer was sent.
   *
   * @param requestId id of the request
   */
  record CallerLeft(String requestId) implements CallerEvent {}

  /**
   * The last byte of an answer or refusal was written to the caller's connection.
   *
   * @param requestId id of the request
   */
  record AnswerDelivered(String requestId) implements CallerEvent {}
}
