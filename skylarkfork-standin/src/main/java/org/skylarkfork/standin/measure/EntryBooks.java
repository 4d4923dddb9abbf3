package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.quality.QualitySettings;
import org.skylarkfork.core.quality.SharedVersionQuality;
import org.skylarkfork.core.quality.VersionQuality;
import org.skylarkfork.core.quality.VersionWithdrawer;

/** The shared books of some entries, with a network whose messages take until the next second. */
public final class EntryBooks {

  private final List<String> names = new ArrayList<>();
  private final List<SharedVersionQuality> books = new ArrayList<>();
  private final List<Reducer> reducers = new ArrayList<>();
  private List<Sent> inFlight = new ArrayList<>();

  /**
   * Makes the books.
   *
   * @param entries how many
   * @param configuration the configuration in force on all
   * @param seed seed of their choices of peers
   */
  public EntryBooks(int entries, ConfigurationView configuration, long seed) {
    for (int i = 0; i < entries; i++) {
      names.add("entry" + i);
    }
    for (int i = 0; i < entries; i++) {
      SharedVersionQuality book =
          new SharedVersionQuality(
              names.get(i),
              1,
              QualitySettings.DEFAULT,
              configuration,
              () -> names,
              VersionWithdrawer.NONE,
              seed + i);
      books.add(book);
      reducers.add(new Reducer(List.of(book)));
    }
  }

  /** Returns the book of an entry. */
  public VersionQuality book(int entry) {
    return books.get(entry);
  }

  /** Delivers the messages of the last second and lets each entry tick. */
  public void second(Instant now) {
    List<Sent> arriving = inFlight;
    inFlight = new ArrayList<>();
    for (Sent sent : arriving) {
      apply(names.indexOf(sent.to()), sent.event(), now);
    }
    for (int i = 0; i < books.size(); i++) {
      apply(i, new LifecycleEvent.Tick(), now);
    }
  }

  private void apply(int entry, Event event, Instant now) {
    for (Effect effect : reducers.get(entry).apply(event, now)) {
      if (effect instanceof PeerEffect.SendToPeer send) {
        Event received = new PeerEvent.MessageReceived(names.get(entry), send.message());
        inFlight.add(new Sent(send.node(), received));
      }
    }
  }

  private record Sent(String to, Event event) {}
}
