package org.skylarkfork.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationDifference.ModelDiffers;
import org.skylarkfork.core.configuration.ConfigurationDifference.OperatorKeyDiffers;
import org.skylarkfork.core.configuration.ConfigurationDifference.QuarantineDiffers;
import org.skylarkfork.core.configuration.ConfigurationDifference.RollOutDiffers;
import org.skylarkfork.core.configuration.ConfigurationDifference.RulesDiffer;
import org.skylarkfork.core.configuration.ConfigurationDifference.ServiceDiffers;
import org.skylarkfork.core.configuration.ConfigurationDifference.TeamDiffers;
import org.skylarkfork.core.configuration.ConfigurationDifference.UpstreamDrainDiffers;
import org.skylarkfork.core.configuration.ConfigurationDifference.VersionPolicyDiffers;
import org.skylarkfork.core.configuration.ConfigurationDifference.VmDrainDiffers;
import org.skylarkfork.core.configuration.ConfigurationDifference.WithdrawalDiffers;

/** Finds, applies and inverts differences. Unchanged objects are told apart by identity first. */
final class Differences {

  private Differences() {}

  static List<ConfigurationDifference> between(Configuration old, Configuration next) {
    List<ConfigurationDifference> found = new ArrayList<>();
    compare(old.teams(), next.teams(), Team::name, TeamDiffers::new, found);
    compare(old.models(), next.models(), Model::name, ModelDiffers::new, found);
    compare(old.services(), next.services(), ServiceDefinition::name, ServiceDiffers::new, found);
    compareRules(old.rules(), next.rules(), found);
    compare(old.rollOuts(), next.rollOuts(), RollOut::model, RollOutDiffers::new, found);
    compare(
        old.withdrawn(),
        next.withdrawn(),
        Function.identity(),
        (key, before, after) -> new WithdrawalDiffers(key, after != null),
        found);
    compare(
        old.drainedUpstreams(),
        next.drainedUpstreams(),
        Function.identity(),
        (key, before, after) -> new UpstreamDrainDiffers(key, after != null),
        found);
    compare(
        old.drainedVms(),
        next.drainedVms(),
        Function.identity(),
        (key, before, after) -> new VmDrainDiffers(key, after != null),
        found);
    compare(
        old.operatorKeys(), next.operatorKeys(), OperatorKey::id, OperatorKeyDiffers::new, found);
    compare(
        old.quarantined(),
        next.quarantined(),
        Function.identity(),
        (key, before, after) -> new QuarantineDiffers(key, after != null),
        found);
    if (!old.versionPolicy().equals(next.versionPolicy())) {
      found.add(new VersionPolicyDiffers(old.versionPolicy(), next.versionPolicy()));
    }
    return found;
  }

  /** Makes a difference out of an item's key and its two forms. */
  private interface DifferenceFactory<T, K> {
    ConfigurationDifference create(K key, @Nullable T before, @Nullable T after);
  }

  private static <T, K extends Comparable<K>> void compare(
      List<T> old,
      List<T> next,
      Function<T, K> key,
      DifferenceFactory<T, K> factory,
      List<ConfigurationDifference> found) {
    if (old == next) {
      return;
    }
    int oldIndex = 0;
    int nextIndex = 0;
    while (oldIndex < old.size() || nextIndex < next.size()) {
      T before = oldIndex < old.size() ? old.get(oldIndex) : null;
      T after = nextIndex < next.size() ? next.get(nextIndex) : null;
      int order = order(before, after, key);
      if (order < 0) {
        found.add(factory.create(key.apply(Objects.requireNonNull(before)), before, null));
        oldIndex++;
      } else if (order > 0) {
        found.add(factory.create(key.apply(Objects.requireNonNull(after)), null, after));
        nextIndex++;
      } else {
        if (before != after && !Objects.equals(before, after)) {
          found.add(factory.create(key.apply(Objects.requireNonNull(after)), before, after));
        }
        oldIndex++;
        nextIndex++;
      }
    }
  }

  private static <T, K extends Comparable<K>> int order(
      @Nullable T before, @Nullable T after, Function<T, K> key) {
    if (before == null) {
      return 1;
    }
    if (after == null) {
      return -1;
    }
    return before == after ? 0 : key.apply(before).compareTo(key.apply(after));
  }

  private static void compareRules(
      List<Rule> old, List<Rule> next, List<ConfigurationDifference> found) {
    if (old == next) {
      return;
    }
    int start = 0;
    while (start < old.size() && start < next.size() && same(old.get(start), next.get(start))) {
      start++;
    }
    int oldEnd = old.size();
    int nextEnd = next.size();
    while (oldEnd > start && nextEnd > start && same(old.get(oldEnd - 1), next.get(nextEnd - 1))) {
      oldEnd--;
      nextEnd--;
    }
    if (start == oldEnd && start == nextEnd) {
      return;
    }
    addReplacement(start, old.subList(start, oldEnd), next.subList(start, nextEnd), found);
  }

  private static boolean same(Rule first, Rule second) {
    return first == second || first.equals(second);
  }

  /** Adds one replacement, or a removal and an insertion if one rule moved past the others. */
  private static void addReplacement(
      int start, List<Rule> old, List<Rule> next, List<ConfigurationDifference> found) {
    int size = old.size();
    if (size > 2 && size == next.size()) {
      Rule first = old.get(0);
      if (old.subList(1, size).equals(next.subList(0, size - 1))
          && same(first, next.get(size - 1))) {
        found.add(new RulesDiffer(start, List.of(first), List.of()));
        found.add(new RulesDiffer(start + size - 1, List.of(), List.of(first)));
        return;
      }
      Rule last = old.get(size - 1);
      if (old.subList(0, size - 1).equals(next.subList(1, size)) && same(last, next.get(0))) {
        found.add(new RulesDiffer(start + size - 1, List.of(last), List.of()));
        found.add(new RulesDiffer(start, List.of(), List.of(last)));
        return;
      }
    }
    found.add(new RulesDiffer(start, old, next));
  }

  static Configuration apply(
      Configuration base, List<ConfigurationDifference> differences, long revision) {
    ConfigurationDraft draft = new ConfigurationDraft(base);
    for (ConfigurationDifference difference : differences) {
      apply(draft, difference);
    }
    return draft.build(revision);
  }

  private static void apply(ConfigurationDraft draft, ConfigurationDifference difference) {
    if (difference instanceof TeamDiffers team) {
      draft.teams = replace(draft.teams, team.name(), team.before(), team.after(), Team::name);
    } else if (difference instanceof ModelDiffers model) {
      draft.models =
          replace(draft.models, model.name(), model.before(), model.after(), Model::name);
    } else if (difference instanceof ServiceDiffers service) {
      draft.services =
          replace(
              draft.services,
              service.name(),
              service.before(),
              service.after(),
              ServiceDefinition::name);
    } else if (difference instanceof RulesDiffer rules) {
      draft.rules = splice(draft.rules, rules);
    } else if (difference instanceof RollOutDiffers rollOut) {
      draft.rollOuts =
          replace(
              draft.rollOuts, rollOut.model(), rollOut.before(), rollOut.after(), RollOut::model);
    } else if (difference instanceof WithdrawalDiffers withdrawal) {
      draft.withdrawn = toggle(draft.withdrawn, withdrawal.version(), withdrawal.withdrawn());
    } else if (difference instanceof UpstreamDrainDiffers drain) {
      draft.drainedUpstreams = toggle(draft.drainedUpstreams, drain.upstream(), drain.drained());
    } else if (difference instanceof VmDrainDiffers drain) {
      draft.drainedVms = toggle(draft.drainedVms, drain.vm(), drain.drained());
    } else if (difference instanceof OperatorKeyDiffers key) {
      draft.operatorKeys =
          replace(draft.operatorKeys, key.id(), key.before(), key.after(), OperatorKey::id);
    } else if (difference instanceof QuarantineDiffers quarantine) {
      draft.quarantined = toggle(draft.quarantined, quarantine.request(), quarantine.quarantined());
    } else if (difference instanceof VersionPolicyDiffers policy) {
      check(draft.versionPolicy.equals(policy.before()), "the policy for bad versions");
      draft.versionPolicy = policy.after();
    }
  }

  private static <T> List<T> replace(
      List<T> list, String name, @Nullable T before, @Nullable T after, Function<T, String> key) {
    int index = ConfigurationDraft.find(list, name, key);
    check(Objects.equals(index < 0 ? null : list.get(index), before), name);
    return after == null
        ? ConfigurationDraft.without(list, name, key)
        : ConfigurationDraft.with(list, after, key);
  }

  private static <T extends Comparable<T>> List<T> toggle(List<T> list, T item, boolean present) {
    int index = ConfigurationDraft.find(list, item, Function.identity());
    check(index >= 0 != present, item.toString());
    return present
        ? ConfigurationDraft.with(list, item, Function.identity())
        : ConfigurationDraft.without(list, item, Function.identity());
  }

  private static List<Rule> splice(List<Rule> rules, RulesDiffer difference) {
    int start = difference.position();
    int end = start + difference.before().size();
    check(start >= 0 && end <= rules.size(), "the rules");
    check(rules.subList(start, end).equals(difference.before()), "the rules");
    List<Rule> copy = new ArrayList<>(rules.size() - end + start + difference.after().size());
    copy.addAll(rules.subList(0, start));
    copy.addAll(difference.after());
    copy.addAll(rules.subList(end, rules.size()));
    return List.copyOf(copy);
  }

  /** Notices a base that is not the one the difference was made for, rather than diverge. */
  private static void check(boolean fits, String subject) {
    if (!fits) {
      throw new IllegalArgumentException(
          "the difference doesn't fit this configuration at " + subject + "; ask for a full copy");
    }
  }

  static ConfigurationDifference inverse(ConfigurationDifference difference) {
    if (difference instanceof TeamDiffers team) {
      return new TeamDiffers(team.name(), team.after(), team.before());
    }
    if (difference instanceof ModelDiffers model) {
      return new ModelDiffers(model.name(), model.after(), model.before());
    }
    if (difference instanceof ServiceDiffers service) {
      return new ServiceDiffers(service.name(), service.after(), service.before());
    }
    if (difference instanceof RulesDiffer rules) {
      return new RulesDiffer(rules.position(), rules.after(), rules.before());
    }
    if (difference instanceof RollOutDiffers rollOut) {
      return new RollOutDiffers(rollOut.model(), rollOut.after(), rollOut.before());
    }
    if (difference instanceof WithdrawalDiffers withdrawal) {
      return new WithdrawalDiffers(withdrawal.version(), !withdrawal.withdrawn());
    }
    if (difference instanceof UpstreamDrainDiffers drain) {
      return new UpstreamDrainDiffers(drain.upstream(), !drain.drained());
    }
    if (difference instanceof VmDrainDiffers drain) {
      return new VmDrainDiffers(drain.vm(), !drain.drained());
    }
    if (difference instanceof OperatorKeyDiffers key) {
      return new OperatorKeyDiffers(key.id(), key.after(), key.before());
    }
    if (difference instanceof QuarantineDiffers quarantine) {
      return new QuarantineDiffers(quarantine.request(), !quarantine.quarantined());
    }
    VersionPolicyDiffers policy = (VersionPolicyDiffers) difference;
    return new VersionPolicyDiffers(policy.after(), policy.before());
  }

  /** Returns about how many names and values a difference carries. */
  static int weight(ConfigurationDifference difference) {
    if (difference instanceof RulesDiffer rules) {
      return 1 + weight(rules.before()) + weight(rules.after());
    }
    if (difference instanceof TeamDiffers team) {
      return 1 + weight(team.before()) + weight(team.after());
    }
    if (difference instanceof ModelDiffers model) {
      return 1 + weight(model.before()) + weight(model.after());
    }
    return 1;
  }

  private static int weight(List<Rule> rules) {
    int weight = 0;
    for (Rule rule : rules) {
      weight += weight(rule);
    }
    return weight;
  }

  /** Returns about how many names and values a rule carries. */
  static int weight(Rule rule) {
    Rule.Condition when = rule.when();
    return 1
        + when.teams().size()
        + when.models().size()
        + when.services().size()
        + when.headers().size()
        + (rule.then() instanceof Rule.Decision.Route route ? route.models().size() : 1);
  }

  private static int weight(@Nullable Team team) {
    if (team == null) {
      return 0;
    }
    int weight = 1 + team.keys().size() + team.allowedServices().size();
    for (Team.AllowedModel allowed : team.allowedModels()) {
      weight += 1 + allowed.versions().size();
    }
    return weight;
  }

  private static int weight(@Nullable Model model) {
    return model == null ? 0 : 1 + model.versions().size();
  }
}
