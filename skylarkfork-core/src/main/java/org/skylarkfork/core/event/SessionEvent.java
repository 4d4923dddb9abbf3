package org.skylarkfork.core.event;

/** Results of the session part; raised within the reducer. */
public sealed interface SessionEvent extends Event {

  /**
   * The lookup of a session's pins has ended: an owner answered, or none did in time.
   *
   * @param requestId id of the request that waits for the pins
   */
  record PinsResolved(String requestId) implements SessionEvent {}
}
