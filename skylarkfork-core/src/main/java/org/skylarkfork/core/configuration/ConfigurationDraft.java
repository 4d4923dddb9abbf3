package org.skylarkfork.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.skylarkfork.core.crash.RequestKey;

/** A configuration in the making; lists that are not changed stay shared with the original. */
final class ConfigurationDraft {

  List<Team> teams;
  List<Model> models;
  List<ServiceDefinition> services;
  List<Rule> rules;
  List<RollOut> rollOuts;
  List<ModelVersion> withdrawn;
  List<String> drainedUpstreams;
  List<String> drainedVms;
  List<OperatorKey> operatorKeys;
  VersionPolicy versionPolicy;
  List<RequestKey> quarantined;

  ConfigurationDraft(Configuration original) {
    teams = original.teams();
    models = original.models();
    services = original.services();
    rules = original.rules();
    rollOuts = original.rollOuts();
    withdrawn = original.withdrawn();
    drainedUpstreams = original.drainedUpstreams();
    drainedVms = original.drainedVms();
    operatorKeys = original.operatorKeys();
    versionPolicy = original.versionPolicy();
    quarantined = original.quarantined();
  }

  Configuration build(long revision) {
    return new Configuration(
        revision,
        teams,
        models,
        services,
        rules,
        rollOuts,
        withdrawn,
        drainedUpstreams,
        drainedVms,
        operatorKeys,
        versionPolicy,
        quarantined);
  }

  /** Sorts every list but the rules, for a configuration that came from outside. */
  ConfigurationDraft sort() {
    teams = sorted(teams, Team::name);
    models = sorted(models, Model::name);
    services = sorted(services, ServiceDefinition::name);
    rollOuts = sorted(rollOuts, RollOut::model);
    withdrawn = sorted(withdrawn, Function.identity());
    drainedUpstreams = sorted(drainedUpstreams, Function.identity());
    drainedVms = sorted(drainedVms, Function.identity());
    operatorKeys = sorted(operatorKeys, OperatorKey::id);
    quarantined = sorted(quarantined, Function.identity());
    return this;
  }

  private static <T, K extends Comparable<K>> List<T> sorted(List<T> list, Function<T, K> key) {
    List<T> copy = new ArrayList<>(list);
    copy.sort((first, second) -> key.apply(first).compareTo(key.apply(second)));
    return List.copyOf(copy);
  }

  /** Returns the list with the item in its sorted place, in place of one with the same key. */
  static <T, K extends Comparable<K>> List<T> with(List<T> list, T item, Function<T, K> key) {
    int index = find(list, key.apply(item), key);
    List<T> copy = new ArrayList<>(list);
    if (index >= 0) {
      copy.set(index, item);
    } else {
      copy.add(-index - 1, item);
    }
    return List.copyOf(copy);
  }

  /** Returns the list without the item of a key, or the same list if there is none. */
  static <T, K extends Comparable<K>> List<T> without(List<T> list, K target, Function<T, K> key) {
    int index = find(list, target, key);
    if (index < 0) {
      return list;
    }
    List<T> copy = new ArrayList<>(list);
    copy.remove(index);
    return List.copyOf(copy);
  }

  /** Returns the index of a key in a sorted list, or {@code -insertionPoint - 1}. */
  static <T, K extends Comparable<K>> int find(List<T> list, K target, Function<T, K> key) {
    int low = 0;
    int high = list.size() - 1;
    while (low <= high) {
      int middle = (low + high) >>> 1;
      int order = key.apply(list.get(middle)).compareTo(target);
      if (order == 0) {
        return middle;
      }
      if (order < 0) {
        low = middle + 1;
      } else {
        high = middle - 1;
      }
    }
    return -low - 1;
  }
}
