package org.skylarkfork.runtime.node;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.OperatorKey;
import org.skylarkfork.core.configuration.Price;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.configuration.ServiceDefinition;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.configuration.VersionPolicy;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.OperatorEvent;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.membership.Member;
import org.skylarkfork.core.membership.ServingState;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.LoadedModel;
import org.skylarkfork.core.upstream.UpstreamKind;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.http.Sha256;
import org.skylarkfork.runtime.loop.JournalLine;
import org.skylarkfork.runtime.loop.JournalStart;
import org.skylarkfork.runtime.settings.DaemonSettings;
import org.skylarkfork.runtime.storage.MemoryStorage;

/** The parts of one daemon under a clock of their own; keeps a journal of all that happens. */
final class GoldenDaemon {

  static final String TEAM_KEY = "race-office-key";
  static final String SMALL = "ruling-small";
  static final String LARGE = "ruling-large";
  static final String LOOKUP = "register";
  static final String CERTIFICATES = "certificates";

  private static final String NODE = "race-1";
  private static final String ZONE = "zone-a";
  private static final String OPERATOR_KEY = "golden-operator";
  private static final JournalStart START = new JournalStart(20_261_202L, self());

  /** All lines so far. */
  final List<String> lines = new ArrayList<>();

  private final Codec codec = new Codec();
  private final Deque<Event> stored = new ArrayDeque<>();
  private final MemoryStorage storage = new MemoryStorage(true, stored::add);
  private final Reducer reducer;
  private Instant now = Instant.parse("2026-12-05T09:00:00Z");

  /** Starts the daemon, makes it leader and gives it a configuration and upstreams. */
  static GoldenDaemon serving() {
    GoldenDaemon daemon = new GoldenDaemon(START);
    daemon.lines.add(daemon.codec.toJson(START));
    for (GroupId group : List.of(GroupId.CONFIGURATION, GroupId.LEDGER)) {
      daemon.storage.recover(group);
    }
    daemon.apply(new LifecycleEvent.Started());
    daemon.tick(Duration.ofMillis(700), 2);
    daemon.change("set-up", new ConfigurationChange.ReplaceAll(configuration()));
    daemon.announceAll();
    daemon.tick(Duration.ofMillis(100), 1);
    return daemon;
  }

  /** Makes a fresh daemon for a replay. */
  GoldenDaemon(JournalStart start) {
    NodeParts parts = new NodeParts(settings(), start.self(), codec, start.seed());
    reducer = parts.reducer();
  }

  /** Applies a line's event at its time and returns the line that comes of it. */
  String replay(JournalLine line) {
    List<Effect> effects = reducer.apply(line.event(), line.now());
    return codec.toJson(new JournalLine(line.now(), line.event(), effects));
  }

  /** Applies an event, and what the storage answers, and returns all effects. */
  List<Effect> apply(Event event) {
    List<Effect> all = new ArrayList<>();
    stored.addLast(event);
    while (!stored.isEmpty()) {
      Event next = stored.removeFirst();
      List<Effect> effects = reducer.apply(next, now);
      lines.add(codec.toJson(new JournalLine(now, next, effects)));
      for (Effect effect : effects) {
        if (effect instanceof StorageEffect write) {
          storage.execute(write);
        }
      }
      all.addAll(effects);
    }
    return all;
  }

  /** Lets time pass in equal steps, with a tick after each. */
  List<Effect> tick(Duration step, int steps) {
    List<Effect> all = new ArrayList<>();
    for (int i = 0; i < steps; i++) {
      now = now.plus(step);
      all.addAll(apply(new LifecycleEvent.Tick()));
    }
    return all;
  }

  /** Asks for a change as the operator. */
  List<Effect> change(String id, ConfigurationChange change) {
    return apply(new OperatorEvent.ChangeRequested(id, Sha256.hex(OPERATOR_KEY), id, null, change));
  }

  Instant now() {
    return now;
  }

  private void announceAll() {
    announce("engine-a", 9001, UpstreamKind.ENGINE, null);
    announce("engine-b", 9002, UpstreamKind.ENGINE, null);
    announce("register-a", 9003, UpstreamKind.SERVICE, LOOKUP);
    announce("certificates-a", 9004, UpstreamKind.SERVICE, CERTIFICATES);
  }

  private void announce(String id, int port, UpstreamKind kind, @Nullable String service) {
    List<LoadedModel> models =
        kind == UpstreamKind.SERVICE
            ? List.of()
            : List.of(loaded(LARGE, "1"), loaded(LARGE, "2"), loaded(SMALL, "1"));
    apply(
        new UpstreamEvent.Announced(
            new Announcement(
                id,
                1,
                "127.0.0.1",
                port,
                ZONE,
                kind,
                service,
                models,
                "mixed",
                8,
                LoadReport.IDLE,
                true,
                false,
                false,
                List.of())));
  }

  private static LoadedModel loaded(String model, String version) {
    return new LoadedModel(model, version, List.of());
  }

  private static Member self() {
    return new Member(
        NODE,
        "127.0.0.1",
        8082,
        8080,
        8081,
        ZONE,
        "local",
        List.of(Member.ENTRY, Member.CONTROL),
        1,
        1,
        0,
        ServingState.NOT_SERVING);
  }

  private static DaemonSettings settings() {
    return new DaemonSettings(
        NODE,
        "golden",
        "local",
        ZONE,
        "127.0.0.1",
        8080,
        8081,
        8082,
        null,
        List.of(NODE),
        List.of(),
        "127.0.0.1:9300",
        "golden-session-secret",
        Sha256.hex(OPERATOR_KEY),
        Duration.ofSeconds(10),
        null,
        null);
  }

  private static Configuration configuration() {
    return new Configuration(
        1,
        List.of(
            new Team(
                "race-office",
                List.of(new Team.Key("first", Sha256.hex(TEAM_KEY))),
                List.of(
                    new Team.AllowedModel(SMALL, List.of()),
                    new Team.AllowedModel(LARGE, List.of())),
                List.of(CERTIFICATES, LOOKUP),
                Limits.NONE,
                1)),
        List.of(
            new Model(
                LARGE, List.of(version("1", 600, 2400, 0.95), version("2", 600, 2400, 0.95)), "1"),
            new Model(SMALL, List.of(version("1", 60, 240, 0.7)), "1")),
        List.of(
            new ServiceDefinition(CERTIFICATES, List.of("POST"), 5_000, 100),
            new ServiceDefinition(LOOKUP, List.of(), 2_000, 1)),
        List.of(
            new Rule(
                "services",
                condition(List.of(), List.of(CERTIFICATES, LOOKUP)),
                new Rule.Decision.ToService()),
            new Rule(
                "named-large",
                condition(List.of(LARGE), List.of()),
                new Rule.Decision.Route(List.of(LARGE), Rule.PlanKind.DIRECT, 0.9, null)),
            new Rule(
                "everything-else",
                Rule.Condition.ALWAYS,
                new Rule.Decision.Route(List.of(SMALL, LARGE), Rule.PlanKind.CASCADE, 0.8, null))),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(new OperatorKey("race-control", Sha256.hex(OPERATOR_KEY))),
        VersionPolicy.DEFAULT,
        List.of());
  }

  private static Model.Version version(String name, long prompt, long completion, double quality) {
    return new Model.Version(name, new Price(prompt, completion), quality);
  }

  private static Rule.Condition condition(List<String> models, List<String> services) {
    return new Rule.Condition(
        List.of(), models, services, List.of(), null, null, null, null, null, null);
  }
}
