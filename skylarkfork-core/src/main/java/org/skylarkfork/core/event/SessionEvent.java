package org.skylarkfork.core.event;

/** Answers of the owners of sessions; raised within the reducer. */
public sealed interface SessionEvent extends Event {

  /**
   * The pins of a request's session are known now, as far as any owner answered in time.
   *
   * @param requestId id of the request that asked
   */
  record PinsResolved(String requestId) implements SessionEvent {}
}
