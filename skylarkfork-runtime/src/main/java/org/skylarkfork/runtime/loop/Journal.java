package org.skylarkfork.runtime.loop;

import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.Event;

/** Sees every event with its effects, for golden files and for replays after an incident. */
public interface Journal {

  /** Keeps nothing. */
  Journal NONE = (now, event, effects) -> {};

  /**
   * Notes an event that was applied.
   *
   * @param now the time at which it was applied
   * @param event what happened
   * @param effects what the reducer decided
   */
  void applied(Instant now, Event event, List<Effect> effects);
}
