package org.skylarkfork.core;

import java.time.Instant;
import org.skylarkfork.core.event.Event;

/** One component of the reducer, whose state is accessed only by the reducer's thread. */
public interface Part {

  /**
   * Applies an event: updates the state of this part and adds effects and follow-up events.
   *
   * @param event the event; a part ignores events that don't concern it
   * @param now the current time
   * @param output receives effects and follow-up events
   */
  void apply(Event event, Instant now, Output output);
}
