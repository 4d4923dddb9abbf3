package org.skylarkfork.core;

import java.time.Instant;
import org.skylarkfork.core.event.Event;

/** One job of the reducer, with state that only the reducer's thread touches. */
public interface Part {

  /**
   * Takes note of an event and decides.
   *
   * @param event what happened; a part ignores events that are not its business
   * @param now the present time
   * @param output where effects and follow-up events go
   */
  void apply(Event event, Instant now, Output output);
}
