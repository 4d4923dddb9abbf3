package org.skylarkfork.core;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.Event;

/** The single reducer of a daemon, which passes each event to its parts in a fixed order. */
public final class Reducer {

  /** Time between two {@code Tick} events. */
  public static final Duration TICK = Duration.ofMillis(20);

  private final List<Part> parts;

  /**
   * Creates a reducer.
   *
   * @param parts the parts, in the order in which they receive each event
   */
  public Reducer(List<Part> parts) {
    this.parts = List.copyOf(parts);
  }

  /**
   * Applies an event, followed by all events that the parts raise in response.
   *
   * @param event the event
   * @param now the current time
   * @return effects for the runtime to carry out, in order
   */
  public List<Effect> apply(Event event, Instant now) {
    Collector collector = new Collector();
    collector.raise(event);
    while (!collector.events.isEmpty()) {
      Event next = collector.events.removeFirst();
      for (Part part : parts) {
        part.apply(next, now, collector);
      }
    }
    return collector.effects;
  }

  private static final class Collector implements Output {
    private final Deque<Event> events = new ArrayDeque<>();
    private final List<Effect> effects = new ArrayList<>();

    @Override
    public void effect(Effect effect) {
      effects.add(effect);
    }

    @Override
    public void raise(Event event) {
      events.addLast(event);
    }
  }
}
