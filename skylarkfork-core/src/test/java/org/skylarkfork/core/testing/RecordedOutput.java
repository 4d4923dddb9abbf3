package org.skylarkfork.core.testing;

import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.Event;

/** Records the effects and events of a part, for tests of single classes. */
public final class RecordedOutput implements Output {

  private final List<Effect> effects = new ArrayList<>();
  private final List<Event> events = new ArrayList<>();

  @Override
  public void effect(Effect effect) {
    effects.add(effect);
  }

  @Override
  public void raise(Event event) {
    events.add(event);
  }

  /** Returns the effects of one type that were added so far, oldest first. */
  public <E extends Effect> List<E> effects(Class<E> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  /** Returns the events that were raised so far, oldest first. */
  public List<Event> events() {
    return List.copyOf(events);
  }
}
