package org.skylarkfork.core.event;

import org.skylarkfork.core.request.CallerRequest;

/** What callers do. */
public sealed interface CallerEvent extends Event {

  /**
   * A whole request arrived and its syntax is right.
   *
   * @param request the request
   */
  record RequestReceived(CallerRequest request) implements CallerEvent {}

  /**
   * The caller closed its connection before the whole answer was sent.
   *
   * @param requestId id of the request
   */
  record CallerLeft(String requestId) implements CallerEvent {}

  /**
   * The last byte of an answer or refusal was handed to the caller's connection.
   *
   * @param requestId id of the request
   */
  record AnswerDelivered(String requestId) implements CallerEvent {}
}
