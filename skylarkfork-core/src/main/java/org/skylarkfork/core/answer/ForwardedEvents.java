package org.skylarkfork.core.answer;

import org.jspecify.annotations.Nullable;

/**
 * The events of a stream that were forwarded to its caller.
 *
 * @param lastId id of the newest event that has one, or null if none has
 * @param isContinuable whether a run after the event with this id repeats no forwarded event and
 *     leaves none out; true if no event was forwarded
 */
public record ForwardedEvents(@Nullable String lastId, boolean isContinuable) {

  /** No event was forwarded. */
  public static final ForwardedEvents NONE = new ForwardedEvents(null, true);

  /** Returns the events up to one with an id, or none if the id is null. */
  public static ForwardedEvents upTo(@Nullable String lastId) {
    return lastId == null ? NONE : new ForwardedEvents(lastId, true);
  }
}
