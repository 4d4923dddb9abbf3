package org.skylarkfork.core;

import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.Event;

/** Takes what a part decides while it applies an event. */
public interface Output {

  /** Adds an effect, which the runtime carries out after the event, in order. */
  void effect(Effect effect);

  /** Adds an event that all parts see after the present one, at the same time. */
  void raise(Event event);
}
