package org.skylarkfork.core.configuration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.skylarkfork.core.configuration.ConfigurationProblem.Kind;
import org.skylarkfork.core.crash.RequestKey;

/** Validates a whole configuration before it replaces another one. */
public final class ConfigurationValidator {

  static final int MAX_TEAMS = 10_000;
  static final int MAX_TEAM_KEYS = 100;
  static final int MAX_MODELS = 1000;
  static final int MAX_VERSIONS = 200;
  static final int MAX_SERVICES = 1000;
  static final int MAX_RULES = 20_000;
  static final int MAX_DRAINED = 20_000;
  static final int MAX_OPERATOR_KEYS = 1000;
  static final int MAX_QUARANTINED = 256;
  static final int MAX_STEPS = 100;
  static final int MAX_TEAM_WEIGHT = 1000;
  static final int MAX_METHODS = 20;
  static final long MAX_TIMEOUT_MILLIS = 3_600_000;
  static final long MAX_PRICE_MICROS = 1_000_000_000_000L;

  private final Configuration configuration;
  private final Problems problems = new Problems();
  private Map<String, Set<String>> versions = Map.of();
  private Set<String> teams = Set.of();
  private Set<String> services = Set.of();

  private ConfigurationValidator(Configuration configuration) {
    this.configuration = configuration;
  }

  /**
   * Returns the problems that prevent a configuration from replacing another; at most 20.
   *
   * @param before the current configuration, which is valid
   * @param after the configuration that a change would create
   */
  public static List<ConfigurationProblem> problems(Configuration before, Configuration after) {
    return problems(before, after, Differences.between(before, after));
  }

  /**
   * Returns the problems; checks only what the differences may have made invalid.
   *
   * <p>An unchanged rule or team can only become invalid when an object to which it refers is
   * removed; then everything is checked.
   */
  static List<ConfigurationProblem> problems(
      Configuration before, Configuration after, List<ConfigurationDifference> differences) {
    ConfigurationValidator validator = new ConfigurationValidator(after);
    if (after.operatorKeys().isEmpty() && !before.operatorKeys().isEmpty()) {
      validator.problems.add(
          Kind.LAST_OPERATOR_KEY,
          "operator keys",
          "nobody could make a change any more; add another operator key first");
    }
    if (validator.checkSizes()) {
      boolean all =
          before.revision() == 0 || differences.stream().anyMatch(d -> mayInvalidateOthers(d));
      validator.check(all, differences);
    }
    return List.copyOf(validator.problems.collected());
  }

  private static boolean mayInvalidateOthers(ConfigurationDifference difference) {
    if (difference instanceof ConfigurationDifference.TeamDiffers team) {
      return team.after() == null;
    }
    if (difference instanceof ConfigurationDifference.ServiceDiffers service) {
      return service.after() == null;
    }
    return difference instanceof ConfigurationDifference.ModelDiffers;
  }

  private boolean checkSizes() {
    return problems.size(configuration.teams(), MAX_TEAMS, "teams")
        & problems.size(configuration.models(), MAX_MODELS, "models")
        & problems.size(configuration.services(), MAX_SERVICES, "services")
        & problems.size(configuration.rules(), MAX_RULES, "rules")
        & problems.size(configuration.rollOuts(), MAX_MODELS, "roll-outs")
        & problems.size(configuration.withdrawn(), MAX_MODELS * MAX_VERSIONS, "withdrawn versions")
        & problems.size(configuration.drainedUpstreams(), MAX_DRAINED, "drained upstreams")
        & problems.size(configuration.drainedVms(), MAX_DRAINED, "drained VMs")
        & problems.size(configuration.operatorKeys(), MAX_OPERATOR_KEYS, "operator keys")
        & problems.size(configuration.quarantined(), MAX_QUARANTINED, "quarantined requests");
  }

  private void check(boolean all, List<ConfigurationDifference> differences) {
    teams = problems.unique(configuration.teams(), Team::name, "team");
    services = problems.unique(configuration.services(), ServiceDefinition::name, "service");
    problems.unique(configuration.models(), Model::name, "model");
    versions = new HashMap<>();
    configuration.models().forEach(this::checkModel);
    configuration.services().forEach(this::checkService);
    checkWithdrawn();
    problems.unique(configuration.rollOuts(), RollOut::model, "roll-out of model");
    configuration.rollOuts().forEach(this::checkRollOut);
    checkPolicy();
    configuration.quarantined().forEach(this::checkQuarantined);
    if (all || differences.stream().anyMatch(d -> affectsKeys(d))) {
      checkKeys();
    }
    checkTeams(all, differences);
    if (all || differences.stream().anyMatch(d -> affectsDrains(d))) {
      checkDrained();
    }
    checkRules(all, differences);
  }

  private static boolean affectsKeys(ConfigurationDifference difference) {
    return difference instanceof ConfigurationDifference.TeamDiffers
        || difference instanceof ConfigurationDifference.OperatorKeyDiffers;
  }

  private static boolean affectsDrains(ConfigurationDifference difference) {
    return difference instanceof ConfigurationDifference.UpstreamDrainDiffers
        || difference instanceof ConfigurationDifference.VmDrainDiffers;
  }

  private void checkRules(boolean all, List<ConfigurationDifference> differences) {
    RuleValidator rules = new RuleValidator(problems, teams, versions.keySet(), services);
    if (all) {
      rules.checkNames(configuration.rules());
      rules.check(configuration.rules());
      return;
    }
    boolean changed = false;
    for (ConfigurationDifference difference : differences) {
      if (difference instanceof ConfigurationDifference.RulesDiffer differ) {
        rules.check(differ.after());
        changed = true;
      }
    }
    if (changed) {
      rules.checkNames(configuration.rules());
    }
  }

  private void checkModel(Model model) {
    String subject = "model " + model.name();
    problems.name(model.name(), subject);
    problems.require(
        !model.versions().isEmpty(),
        Kind.OUT_OF_RANGE,
        subject,
        "it has no version; give it at least one");
    if (!problems.size(model.versions(), MAX_VERSIONS, subject + " versions")) {
      return;
    }
    Set<String> names = problems.unique(model.versions(), Model.Version::name, "version");
    versions.put(model.name(), names);
    problems.reference(names, model.current(), "version", subject);
    for (Model.Version version : model.versions()) {
      String versionSubject = subject + " version " + version.name();
      problems.name(version.name(), versionSubject);
      problems.fraction(version.priorQuality(), versionSubject + " priorQuality");
      Price price = version.price();
      problems.range(
          price.promptMicrosPerThousand(), 0, MAX_PRICE_MICROS, versionSubject + " prompt price");
      problems.range(
          price.completionMicrosPerThousand(),
          0,
          MAX_PRICE_MICROS,
          versionSubject + " completion price");
    }
  }

  private void checkService(ServiceDefinition service) {
    String subject = "service " + service.name();
    problems.name(service.name(), subject);
    problems.range(service.timeoutMillis(), 1, MAX_TIMEOUT_MILLIS, subject + " timeoutMillis");
    problems.range(service.callMicros(), 0, MAX_PRICE_MICROS, subject + " callMicros");
    if (problems.size(service.nonIdempotentMethods(), MAX_METHODS, subject + " methods")) {
      for (String method : service.nonIdempotentMethods()) {
        problems.require(
            method.matches("[A-Z]{1,20}"),
            Kind.MALFORMED,
            subject,
            Problems.quote(method) + " is no HTTP method; write it like POST");
      }
    }
  }

  private void checkKeys() {
    problems.unique(configuration.operatorKeys(), OperatorKey::id, "operator key");
    Set<String> hashes = new HashSet<>();
    for (OperatorKey key : configuration.operatorKeys()) {
      String subject = "operator key " + key.id();
      checkKey(key.id(), key.sha256(), subject);
      checkUnique(hashes, key.sha256(), key.id(), "an operator");
    }
    for (Team team : configuration.teams()) {
      for (Team.Key key : team.keys()) {
        checkUnique(hashes, key.sha256(), key.id(), team.name());
      }
    }
  }

  private void checkUnique(Set<String> hashes, String sha256, String id, String owner) {
    if (!hashes.add(sha256)) {
      problems.add(
          Kind.DUPLICATE,
          "key " + id + " of " + owner,
          "another team or operator has the same key; make a new key for one of them");
    }
  }

  private void checkTeams(boolean all, List<ConfigurationDifference> differences) {
    if (all) {
      configuration.teams().forEach(this::checkTeam);
      return;
    }
    for (ConfigurationDifference difference : differences) {
      if (difference instanceof ConfigurationDifference.TeamDiffers differ) {
        Team team = differ.after();
        if (team != null) {
          checkTeam(team);
        }
      }
    }
  }

  private void checkTeam(Team team) {
    String subject = "team " + team.name();
    problems.name(team.name(), subject);
    problems.range(team.weight(), 1, MAX_TEAM_WEIGHT, subject + " weight");
    checkLimits(team.limits(), subject);
    if (problems.size(team.keys(), MAX_TEAM_KEYS, subject + " keys")) {
      problems.unique(team.keys(), Team.Key::id, "key of " + subject);
      team.keys().forEach(key -> checkKey(key.id(), key.sha256(), subject));
    }
    if (problems.size(team.allowedServices(), MAX_SERVICES, subject + " allowedServices")) {
      team.allowedServices()
          .forEach(service -> problems.reference(services, service, "service", subject));
    }
    if (!problems.size(team.allowedModels(), MAX_MODELS, subject + " allowedModels")) {
      return;
    }
    for (Team.AllowedModel allowed : team.allowedModels()) {
      problems.reference(versions.keySet(), allowed.model(), "model", subject);
      Set<String> known = versions.getOrDefault(allowed.model(), Set.of());
      if (!known.isEmpty()) {
        allowed
            .versions()
            .forEach(version -> problems.reference(known, version, "version", subject));
      }
    }
  }

  private void checkKey(String id, String sha256, String subject) {
    problems.name(id, subject + " key id");
    problems.hash(sha256, subject + " key " + id);
  }

  private void checkLimits(Limits limits, String subject) {
    double perSecond = limits.requestsPerSecond();
    problems.require(
        perSecond >= 0 && Double.isFinite(perSecond),
        Kind.OUT_OF_RANGE,
        subject + " requestsPerSecond",
        perSecond + " is out of range; use 0 for no limit, or a positive number");
    problems.range(
        limits.concurrentRequests(), 0, Integer.MAX_VALUE, subject + " concurrentRequests");
    problems.range(limits.tokensPerMinute(), 0, Long.MAX_VALUE, subject + " tokensPerMinute");
  }

  private void checkWithdrawn() {
    Set<ModelVersion> seen = new HashSet<>();
    for (ModelVersion version : configuration.withdrawn()) {
      String subject = "withdrawn version " + version;
      problems.require(seen.add(version), Kind.DUPLICATE, subject, "it comes twice; remove one");
      problems.reference(versions.keySet(), version.model(), "model", subject);
      problems.reference(
          versions.getOrDefault(version.model(), Set.of()), version.version(), "version", subject);
    }
  }

  private void checkRollOut(RollOut rollOut) {
    String subject = "roll-out of model " + rollOut.model();
    Set<String> known = versions.getOrDefault(rollOut.model(), Set.of());
    problems.reference(versions.keySet(), rollOut.model(), "model", subject);
    problems.reference(known, rollOut.from(), "version", subject);
    problems.reference(known, rollOut.to(), "version", subject);
    problems.require(
        !rollOut.from().equals(rollOut.to()),
        Kind.OUT_OF_RANGE,
        subject,
        "it goes from a version to itself; name another version");
    problems.require(
        !rollOut.steps().isEmpty(),
        Kind.OUT_OF_RANGE,
        subject,
        "it has no step; give it at least one");
    problems.range(rollOut.step(), 0, rollOut.steps().size(), subject + " step");
    // A closed roll-out is only a record and must not prevent the removal of a team.
    boolean open = RollOutChanges.isOpen(rollOut);
    if (problems.size(rollOut.steps(), MAX_STEPS, subject + " steps")) {
      rollOut.steps().forEach(step -> checkStep(step, open, subject));
    }
    if (open) {
      checkOpenRollOut(rollOut, subject);
    }
  }

  private void checkStep(RollOut.Step step, boolean open, String subject) {
    problems.range(step.percent(), 0, 100, subject + " percent");
    if (problems.size(step.teams(), MAX_TEAMS, subject + " teams") && open) {
      step.teams().forEach(team -> problems.reference(teams, team, "team", subject));
    }
    if (problems.size(step.zones(), MAX_MODELS, subject + " zones")) {
      step.zones().forEach(zone -> problems.name(zone, subject + " zone"));
    }
  }

  private void checkOpenRollOut(RollOut rollOut, String subject) {
    ModelVersion target = new ModelVersion(rollOut.model(), rollOut.to());
    problems.require(
        !configuration.withdrawn().contains(target),
        Kind.WITHDRAWN,
        subject,
        "version " + target + " is withdrawn; reinstate it first, or roll out another");
    boolean startsAtCurrent =
        configuration
            .model(rollOut.model())
            .map(model -> model.current().equals(rollOut.from()))
            .orElse(true);
    problems.require(
        startsAtCurrent,
        Kind.WRONG_STATE,
        subject,
        "version "
            + rollOut.from()
            + " is not the model's current one; roll out from the current one, or abort first");
  }

  private void checkDrained() {
    problems.unique(configuration.drainedUpstreams(), Function.identity(), "drained upstream");
    problems.unique(configuration.drainedVms(), Function.identity(), "drained VM");
    configuration.drainedUpstreams().forEach(id -> problems.nodeId(id, "drained upstream"));
    configuration.drainedVms().forEach(id -> problems.nodeId(id, "drained VM"));
  }

  private void checkQuarantined(RequestKey request) {
    problems.name(request.team(), "quarantined request " + request);
  }

  private void checkPolicy() {
    VersionPolicy policy = configuration.versionPolicy();
    problems.fraction(policy.tolerance(), "versionPolicy tolerance");
    problems.fraction(policy.falseAlarmRate(), "versionPolicy falseAlarmRate");
    problems.require(
        policy.falseAlarmRate() != 0,
        Kind.OUT_OF_RANGE,
        "versionPolicy falseAlarmRate",
        "no test can rule out every false alarm; use a small value such as 0.01");
  }
}
