package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.Price;
import org.skylarkfork.core.configuration.RollOut;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.configuration.VersionPolicy;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.quality.VersionQuality;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RequestKind;
import org.skylarkfork.core.session.SessionPins;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.LoadedModel;
import org.skylarkfork.core.upstream.UpstreamDirectory;
import org.skylarkfork.core.upstream.UpstreamKind;

/** Fixtures and fakes for the tests of routing decisions. */
final class RoutingFakes {

  static final Instant NOW = Instant.parse("2026-05-04T08:00:00Z");

  private RoutingFakes() {}

  static CallerRequest request(String id, String model, @Nullable String session) {
    return new CallerRequest(
        id,
        "hash",
        RequestKind.CHAT,
        model,
        "",
        "POST",
        "",
        List.of(),
        "prompt of " + id,
        Bytes.EMPTY,
        200,
        400,
        false,
        5,
        session,
        null,
        null,
        NOW.plusSeconds(60),
        null);
  }

  static Model model(String name, String current, long price, double prior, String... versions) {
    List<Model.Version> list = new ArrayList<>();
    for (String version : versions) {
      list.add(new Model.Version(version, new Price(price, price * 4), prior));
    }
    return new Model(name, list, current);
  }

  static Team team(String name, Team.AllowedModel... allowed) {
    return new Team(name, List.of(), List.of(allowed), List.of(), Limits.NONE, 1);
  }

  static Rule.Decision.Route route(Rule.PlanKind plan, double target, String... models) {
    return new Rule.Decision.Route(List.of(models), plan, target, null);
  }

  static Announcement engine(
      String id, String zone, int capacity, int running, ModelVersion... versions) {
    List<LoadedModel> loaded = new ArrayList<>();
    for (ModelVersion version : versions) {
      loaded.add(new LoadedModel(version.model(), version.version(), List.of()));
    }
    return new Announcement(
        id,
        1,
        "127.0.0.1",
        9000,
        zone,
        UpstreamKind.ENGINE,
        null,
        loaded,
        "mixed",
        capacity,
        new LoadReport(running, 0, 0, 0),
        true,
        false,
        false,
        List.of());
  }

  /** Fake configuration with fields that tests set. */
  static final class FakeConfiguration implements ConfigurationView {
    List<Team> teams = List.of();
    List<Model> models = List.of();
    List<RollOut> rollOuts = List.of();
    List<ModelVersion> withdrawn = List.of();
    List<Rule> rules = List.of();

    @Override
    public Configuration current() {
      return new Configuration(
          1,
          teams,
          models,
          List.of(),
          rules,
          rollOuts,
          withdrawn,
          List.of(),
          List.of(),
          List.of(),
          VersionPolicy.DEFAULT,
          List.of());
    }

    @Override
    public boolean mayServe(Instant now) {
      return true;
    }

    @Override
    public Optional<Team> teamByKeyHash(String sha256) {
      return Optional.empty();
    }
  }

  /** Fake directory with one engine for each version, except the versions in {@code without}. */
  static final class FakeDirectory implements UpstreamDirectory {
    final Set<ModelVersion> without = new HashSet<>();

    @Override
    public List<Announcement> engines(ModelVersion version, Instant now) {
      return without.contains(version)
          ? List.of()
          : List.of(engine("e-" + version, "a", 8, 0, version));
    }

    @Override
    public List<Announcement> services(String service, Instant now) {
      return List.of();
    }

    @Override
    public Optional<Announcement> find(String id) {
      return Optional.empty();
    }

    @Override
    public List<Announcement> all() {
      return List.of();
    }
  }

  /** Fake pins that tests set. */
  static final class FakePins implements SessionPins {
    final Map<String, ModelVersion> pins = new HashMap<>();

    @Override
    public Lookup lookup(CallerRequest request, String team, Instant now) {
      return Lookup.KNOWN;
    }

    @Override
    public Optional<ModelVersion> pinned(String team, String session, String model) {
      return Optional.ofNullable(pins.get(team + "/" + session + "/" + model));
    }

    @Override
    public String pin(String team, String session, ModelVersion version, Instant now) {
      pins.put(team + "/" + session + "/" + version.model(), version);
      return "token";
    }
  }

  /** Fake quality estimates and suspect versions that tests set. */
  static final class FakeQuality implements VersionQuality {
    final Set<ModelVersion> suspects = new HashSet<>();
    final Map<ModelVersion, Estimate> estimates = new HashMap<>();
    final List<AttemptOutcome> recorded = new ArrayList<>();

    @Override
    public Estimate estimate(ModelVersion version, String team, int promptTokens, double target) {
      return estimates.getOrDefault(version, new Estimate(0.5, 0.2, 0));
    }

    @Override
    public boolean isSuspect(ModelVersion version) {
      return suspects.contains(version);
    }

    @Override
    public void record(AttemptOutcome outcome, Instant now) {
      recorded.add(outcome);
    }
  }
}
