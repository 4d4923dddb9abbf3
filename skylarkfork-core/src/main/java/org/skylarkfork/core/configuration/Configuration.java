package org.skylarkfork.core.configuration;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.skylarkfork.core.crash.RequestKey;

/**
 * All operator-defined settings at one revision. All lists except the rules are sorted by name.
 *
 * @param revision number that increases by one with each accepted change; 0 is the empty
 *     configuration
 * @param teams the teams
 * @param models the models with their versions
 * @param services services without models, called by path
 * @param rules the routing rules in order of evaluation
 * @param rollOuts at most one roll-out per model
 * @param withdrawn versions that receive no new work
 * @param drainedUpstreams ids of upstreams that receive no new work
 * @param drainedVms node names of entry VMs that accept no new work
 * @param operatorKeys keys that authenticate operators at the admin API
 * @param versionPolicy how versions with bad ratings are handled
 * @param quarantined requests that all entries refuse because they crash the upstreams that run
 *     them
 */
public record Configuration(
    long revision,
    List<Team> teams,
    List<Model> models,
    List<ServiceDefinition> services,
    List<Rule> rules,
    List<RollOut> rollOuts,
    List<ModelVersion> withdrawn,
    List<String> drainedUpstreams,
    List<String> drainedVms,
    List<OperatorKey> operatorKeys,
    VersionPolicy versionPolicy,
    List<RequestKey> quarantined) {

  /** The configuration before the first change. */
  public static final Configuration EMPTY =
      new Configuration(
          0,
          List.of(),
          List.of(),
          List.of(),
          List.of(),
          List.of(),
          List.of(),
          List.of(),
          List.of(),
          List.of(),
          VersionPolicy.DEFAULT,
          List.of());

  /** Copies the lists. */
  public Configuration {
    teams = List.copyOf(teams);
    models = List.copyOf(models);
    services = List.copyOf(services);
    rules = List.copyOf(rules);
    rollOuts = List.copyOf(rollOuts);
    withdrawn = List.copyOf(withdrawn);
    drainedUpstreams = List.copyOf(drainedUpstreams);
    drainedVms = List.copyOf(drainedVms);
    operatorKeys = List.copyOf(operatorKeys);
    quarantined = List.copyOf(quarantined);
  }

  /** Returns a team by name. */
  public Optional<Team> team(String name) {
    return teams.stream().filter(team -> team.name().equals(name)).findFirst();
  }

  /** Returns a model by name. */
  public Optional<Model> model(String name) {
    return models.stream().filter(model -> model.name().equals(name)).findFirst();
  }

  /** Returns a plain service by name. */
  public Optional<ServiceDefinition> service(String name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }

  /** Returns the roll-out of a model. */
  public Optional<RollOut> rollOut(String model) {
    return rollOuts.stream().filter(rollOut -> rollOut.model().equals(model)).findFirst();
  }

  /** Returns whether a request is refused because it crashes the upstreams that run it. */
  public boolean isQuarantined(RequestKey key) {
    return !quarantined.isEmpty() && Collections.binarySearch(quarantined, key) >= 0;
  }

  /** Returns whether a version receives no new work. */
  public boolean isWithdrawn(ModelVersion version) {
    return withdrawn.contains(version);
  }
}
