package org.skylarkfork.core.waiting;

import org.jspecify.annotations.Nullable;

/**
 * What an entry does with a call that asked for a slot.
 *
 * @param request number of the entry's request
 * @param action what the entry does
 * @param upstream id of the upstream whose slot is granted, or null
 * @param retryAfterMillis retry delay to tell a refused caller, in milliseconds; 0 for none
 * @param scheduler peer name of the scheduler that was asked
 * @param waitedMillis time since the ask, in milliseconds
 */
public record SlotDecision(
    long request,
    Action action,
    @Nullable String upstream,
    long retryAfterMillis,
    String scheduler,
    long waitedMillis) {

  /** What an entry does with a call. */
  public enum Action {
    /** Send the call to the granted upstream. */
    USE_SLOT,
    /** Refuse the call. */
    REFUSE,
    /** Place the call without the shared queue. */
    PLACE_OWN
  }
}
