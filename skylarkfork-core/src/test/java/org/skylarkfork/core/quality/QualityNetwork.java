package org.skylarkfork.core.quality;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.Price;
import org.skylarkfork.core.configuration.RollOut;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.configuration.VersionPolicy;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;

/** Some entries' books with a network between them that may lose, repeat and reorder. */
final class QualityNetwork implements ConfigurationView {

  static final ModelVersion OLD = new ModelVersion("ruling", "1");
  static final ModelVersion NEW = new ModelVersion("ruling", "2");

  final List<SharedVersionQuality> qualities = new ArrayList<>();
  final List<String> withdrawals = new ArrayList<>();
  final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(42L);
  List<ModelVersion> withdrawn = List.of();
  boolean withdrawAutomatically;
  double lossRate;
  double duplicateRate;
  Instant now = Instant.parse("2026-05-04T08:00:00Z");

  private final Map<String, Reducer> reducers = new HashMap<>();
  private final List<Sent> inFlight = new ArrayList<>();
  private long requests;

  QualityNetwork(int entries) {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < entries; i++) {
      names.add("entry" + i);
    }
    for (String name : names) {
      SharedVersionQuality quality =
          new SharedVersionQuality(
              name,
              1,
              QualitySettings.DEFAULT,
              this,
              () -> names,
              (version, changeId, reason, time, output) -> withdrawals.add(changeId),
              names.indexOf(name));
      qualities.add(quality);
      reducers.put(name, new Reducer(List.of(quality)));
    }
  }

  @Override
  public Configuration current() {
    Model.Version first = new Model.Version("1", new Price(10, 40), 0.8);
    Model.Version second = new Model.Version("2", new Price(10, 40), 0.8);
    RollOut rollOut =
        new RollOut(
            "ruling",
            "1",
            "2",
            List.of(new RollOut.Step(50, List.of(), List.of())),
            0,
            RollOut.State.RUNNING);
    return new Configuration(
        1,
        List.of(),
        List.of(new Model("ruling", List.of(first, second), "1")),
        List.of(),
        List.of(),
        List.of(rollOut),
        withdrawn,
        List.of(),
        List.of(),
        List.of(),
        new VersionPolicy(withdrawAutomatically, 0.01, 0.05),
        List.of());
  }

  @Override
  public boolean mayServe(Instant time) {
    return true;
  }

  @Override
  public Optional<Team> teamByKeyHash(String sha256) {
    return Optional.empty();
  }

  void record(int entry, ModelVersion version, @Nullable Double rating) {
    requests++;
    AttemptOutcome outcome =
        new AttemptOutcome(
            "r" + requests,
            version,
            "club",
            100,
            AttemptOutcome.Ending.WHOLE,
            rating,
            80L,
            200,
            4_000L,
            false);
    qualities.get(entry).record(outcome, now);
  }

  /** Lets a second pass: each entry ticks, then the messages of the second before arrive. */
  void runSecond() {
    now = now.plusSeconds(1);
    List<Sent> delivered = new ArrayList<>(inFlight);
    inFlight.clear();
    for (int i = delivered.size() - 1; i > 0; i--) {
      delivered.set(i, delivered.set(random.nextInt(i + 1), delivered.get(i)));
    }
    for (Sent sent : delivered) {
      deliver(sent.to(), new PeerEvent.MessageReceived(sent.from(), sent.effect().message()));
    }
    for (String name : reducers.keySet().stream().sorted().toList()) {
      deliver(name, new LifecycleEvent.Tick());
    }
  }

  private void deliver(String name, Event event) {
    for (Effect effect : reducers.get(name).apply(event, now)) {
      if (effect instanceof PeerEffect.SendToPeer send && random.nextDouble() >= lossRate) {
        inFlight.add(new Sent(name, send.node(), send));
        if (random.nextDouble() < duplicateRate) {
          inFlight.add(new Sent(name, send.node(), send));
        }
      }
    }
  }

  private record Sent(String from, String to, PeerEffect.SendToPeer effect) {}
}
