package org.skylarkfork.runtime.loop;

import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.Event;

/**
 * One line of a journal file after its first.
 *
 * @param now the time at which the event was applied
 * @param event what happened
 * @param effects what the reducer decided
 */
public record JournalLine(Instant now, Event event, List<Effect> effects) {

  /** Copies the effects. */
  public JournalLine {
    effects = List.copyOf(effects);
  }
}
