package org.skylarkfork.core;

import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.Event;

/** Receives the effects and follow-up events of a part while it applies an event. */
public interface Output {

  /**
   * Adds an effect. The runtime carries out effects after the event, in the order in which they
   * were added.
   */
  void effect(Effect effect);

  /** Adds an event that is passed to all parts after the current one, with the same time. */
  void raise(Event event);
}
