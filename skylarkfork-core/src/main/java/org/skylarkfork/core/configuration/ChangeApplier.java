package org.skylarkfork.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.skylarkfork.core.configuration.ConfigurationProblem.Kind;
import org.skylarkfork.core.crash.RequestKey;

/** Applies a change to a configuration; the result still has to be validated as a whole. */
final class ChangeApplier {

  private final ConfigurationHistory history;

  ChangeApplier(ConfigurationHistory history) {
    this.history = history;
  }

  /**
   * Returns the changed configuration under the next revision.
   *
   * @throws InapplicableChangeException if the change names something that isn't there or doesn't
   *     fit the present state
   */
  Configuration apply(Configuration current, ConfigurationChange change)
      throws InapplicableChangeException {
    ConfigurationDraft draft = new ConfigurationDraft(current);
    if (change instanceof ConfigurationChange.ReplaceAll replace) {
      draft = new ConfigurationDraft(replace.configuration()).sort();
      draft.quarantined = current.quarantined();
    } else if (change instanceof ConfigurationChange.RestoreRevision restore) {
      draft = new RevisionRestorer(history).restore(current, restore.revision());
    } else if (!changeTeam(draft, change)
        && !changeModel(draft, change)
        && !changeRule(draft, change)
        && !RollOutChanges.apply(draft, change)) {
      changeOther(draft, change);
    }
    return draft.build(current.revision() + 1);
  }

  private static boolean changeTeam(ConfigurationDraft draft, ConfigurationChange change)
      throws InapplicableChangeException {
    if (change instanceof ConfigurationChange.PutTeam put) {
      draft.teams = ConfigurationDraft.with(draft.teams, put.team(), Team::name);
    } else if (change instanceof ConfigurationChange.RemoveTeam remove) {
      draft.teams = remove(draft.teams, remove.name(), Team::name, "team");
    } else if (change instanceof ConfigurationChange.AddTeamKey add) {
      Team team = findOrThrow(draft.teams, add.team(), Team::name, "team");
      List<Team.Key> keys = new ArrayList<>(team.keys());
      keys.removeIf(key -> key.id().equals(add.key().id()));
      keys.add(add.key());
      draft.teams = ConfigurationDraft.with(draft.teams, withKeys(team, keys), Team::name);
    } else if (change instanceof ConfigurationChange.RemoveTeamKey remove) {
      Team team = findOrThrow(draft.teams, remove.team(), Team::name, "team");
      List<Team.Key> keys = new ArrayList<>(team.keys());
      if (!keys.removeIf(key -> key.id().equals(remove.keyId()))) {
        throw notFound("key of team " + team.name(), remove.keyId());
      }
      draft.teams = ConfigurationDraft.with(draft.teams, withKeys(team, keys), Team::name);
    } else {
      return false;
    }
    return true;
  }

  /** Returns the team with other keys. */
  static Team withKeys(Team team, List<Team.Key> keys) {
    return new Team(
        team.name(),
        keys,
        team.allowedModels(),
        team.allowedServices(),
        team.limits(),
        team.weight());
  }

  private static boolean changeModel(ConfigurationDraft draft, ConfigurationChange change)
      throws InapplicableChangeException {
    if (change instanceof ConfigurationChange.PutModel put) {
      draft.models = ConfigurationDraft.with(draft.models, put.model(), Model::name);
      RollOutChanges.removeMissingVersions(draft);
    } else if (change instanceof ConfigurationChange.RemoveModel remove) {
      draft.models = remove(draft.models, remove.name(), Model::name, "model");
      RollOutChanges.removeMissingVersions(draft);
    } else if (change instanceof ConfigurationChange.PutService put) {
      draft.services =
          ConfigurationDraft.with(draft.services, put.service(), ServiceDefinition::name);
    } else if (change instanceof ConfigurationChange.RemoveService remove) {
      draft.services = remove(draft.services, remove.name(), ServiceDefinition::name, "service");
    } else {
      return false;
    }
    return true;
  }

  private static boolean changeRule(ConfigurationDraft draft, ConfigurationChange change)
      throws InapplicableChangeException {
    if (change instanceof ConfigurationChange.PutRules put) {
      draft.rules = put.rules();
    } else if (change instanceof ConfigurationChange.PutRule put) {
      List<Rule> rules = new ArrayList<>(draft.rules);
      int oldIndex = indexOf(rules, put.rule().name());
      if (oldIndex >= 0) {
        rules.remove(oldIndex);
      }
      int position = oldIndex >= 0 ? oldIndex : rules.size();
      Integer requested = put.position();
      rules.add(
          requested == null ? position : checkPosition(requested, rules, put.rule().name()),
          put.rule());
      draft.rules = List.copyOf(rules);
    } else if (change instanceof ConfigurationChange.RemoveRule remove) {
      List<Rule> rules = new ArrayList<>(draft.rules);
      rules.remove(presentIndex(rules, remove.name()));
      draft.rules = List.copyOf(rules);
    } else if (change instanceof ConfigurationChange.MoveRule move) {
      List<Rule> rules = new ArrayList<>(draft.rules);
      Rule rule = rules.remove(presentIndex(rules, move.name()));
      rules.add(checkPosition(move.position(), rules, move.name()), rule);
      draft.rules = List.copyOf(rules);
    } else {
      return false;
    }
    return true;
  }

  private static int checkPosition(int requested, List<Rule> rules, String name)
      throws InapplicableChangeException {
    if (requested < 0 || requested > rules.size()) {
      throw new InapplicableChangeException(
          Kind.OUT_OF_RANGE,
          "rule " + name,
          "position " + requested + " does not exist; use 0 to " + rules.size());
    }
    return requested;
  }

  private static int presentIndex(List<Rule> rules, String name)
      throws InapplicableChangeException {
    int index = indexOf(rules, name);
    if (index < 0) {
      throw notFound("rule", name);
    }
    return index;
  }

  private static int indexOf(List<Rule> rules, String name) {
    for (int index = 0; index < rules.size(); index++) {
      if (rules.get(index).name().equals(name)) {
        return index;
      }
    }
    return -1;
  }

  private static void changeOther(ConfigurationDraft draft, ConfigurationChange change)
      throws InapplicableChangeException {
    Function<String, String> identity = Function.identity();
    if (change instanceof ConfigurationChange.DrainUpstream drain) {
      draft.drainedUpstreams =
          ConfigurationDraft.with(draft.drainedUpstreams, drain.upstream(), identity);
    } else if (change instanceof ConfigurationChange.UndrainUpstream undrain) {
      draft.drainedUpstreams =
          remove(draft.drainedUpstreams, undrain.upstream(), identity, "drained upstream");
    } else if (change instanceof ConfigurationChange.DrainVm drain) {
      draft.drainedVms = ConfigurationDraft.with(draft.drainedVms, drain.vm(), identity);
    } else if (change instanceof ConfigurationChange.UndrainVm undrain) {
      draft.drainedVms = remove(draft.drainedVms, undrain.vm(), identity, "drained VM");
    } else if (change instanceof ConfigurationChange.PutOperatorKey put) {
      draft.operatorKeys = ConfigurationDraft.with(draft.operatorKeys, put.key(), OperatorKey::id);
    } else if (change instanceof ConfigurationChange.RemoveOperatorKey remove) {
      draft.operatorKeys = remove(draft.operatorKeys, remove.id(), OperatorKey::id, "operator key");
    } else if (change instanceof ConfigurationChange.PutVersionPolicy put) {
      draft.versionPolicy = put.policy();
    } else if (change instanceof ConfigurationChange.QuarantineRequest quarantine) {
      draft.quarantined =
          ConfigurationDraft.with(draft.quarantined, quarantine.request(), Function.identity());
    } else if (change instanceof ConfigurationChange.LiftQuarantine lift) {
      draft.quarantined = lifted(draft.quarantined, lift.request());
    } else {
      throw new IllegalStateException("no applier for " + change.getClass().getSimpleName());
    }
  }

  private static List<RequestKey> lifted(List<RequestKey> quarantined, RequestKey request)
      throws InapplicableChangeException {
    if (!quarantined.contains(request)) {
      throw notFound("quarantined request", request.toString());
    }
    return ConfigurationDraft.without(quarantined, request, Function.identity());
  }

  private static <T> List<T> remove(
      List<T> list, String name, Function<T, String> key, String typeName)
      throws InapplicableChangeException {
    findOrThrow(list, name, key, typeName);
    return ConfigurationDraft.without(list, name, key);
  }

  /** Returns the item of a key, or says that it isn't there. */
  static <T> T findOrThrow(List<T> list, String name, Function<T, String> key, String typeName)
      throws InapplicableChangeException {
    int position = ConfigurationDraft.find(list, name, key);
    if (position < 0) {
      throw notFound(typeName, name);
    }
    return list.get(position);
  }

  /** Makes the problem of something that isn't there. */
  static InapplicableChangeException notFound(String typeName, String name) {
    return new InapplicableChangeException(
        Kind.NOT_FOUND,
        typeName + " " + name,
        "there is no " + typeName + " named " + name + "; read the configuration for the names");
  }
}
