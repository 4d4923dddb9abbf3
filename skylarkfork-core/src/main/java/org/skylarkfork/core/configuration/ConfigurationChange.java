package org.skylarkfork.core.configuration;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.crash.RequestKey;

/** One change that an operator or the system itself asks for. */
public sealed interface ConfigurationChange {

  /**
   * Adds a team or replaces the one of that name.
   *
   * @param team the whole team with its keys
   */
  record PutTeam(Team team) implements ConfigurationChange {}

  /**
   * Removes a team that no rule and no step of an open roll-out names.
   *
   * @param name name of the team
   */
  record RemoveTeam(String name) implements ConfigurationChange {}

  /**
   * Adds a key to a team or replaces the key of that id.
   *
   * @param team name of the team
   * @param key the key, hashed
   */
  record AddTeamKey(String team, Team.Key key) implements ConfigurationChange {}

  /**
   * Removes a key of a team.
   *
   * @param team name of the team
   * @param keyId id of the key
   */
  record RemoveTeamKey(String team, String keyId) implements ConfigurationChange {}

  /**
   * Adds a model or replaces the one of that name.
   *
   * @param model the whole model with its versions
   */
  record PutModel(Model model) implements ConfigurationChange {}

  /**
   * Removes a model that no team, rule or roll-out names; its withdrawals go with it.
   *
   * @param name name of the model
   */
  record RemoveModel(String name) implements ConfigurationChange {}

  /**
   * Adds a plain service or replaces the one of that name.
   *
   * @param service the whole service
   */
  record PutService(ServiceDefinition service) implements ConfigurationChange {}

  /**
   * Removes a plain service that no team and no rule names.
   *
   * @param name name of the service
   */
  record RemoveService(String name) implements ConfigurationChange {}

  /**
   * Replaces all rules.
   *
   * @param rules the rules in order
   */
  record PutRules(List<Rule> rules) implements ConfigurationChange {

    /** Copies the rules. */
    public PutRules {
      rules = List.copyOf(rules);
    }
  }

  /**
   * Adds a rule or replaces the one of that name.
   *
   * @param rule the rule
   * @param position index it gets among all rules, from 0; null keeps the place of the rule that it
   *     replaces, or appends it
   */
  record PutRule(Rule rule, @Nullable Integer position) implements ConfigurationChange {}

  /**
   * Removes a rule.
   *
   * @param name name of the rule
   */
  record RemoveRule(String name) implements ConfigurationChange {}

  /**
   * Gives a rule another place.
   *
   * @param name name of the rule
   * @param position index it gets among all rules, from 0
   */
  record MoveRule(String name, int position) implements ConfigurationChange {}

  /**
   * Starts a roll-out at its first step, in place of a finished or aborted one of the model.
   *
   * @param model name of the model
   * @param from version that is replaced; must be the model's current one
   * @param to version that is rolled out
   * @param steps the stages in order
   */
  record StartRollOut(String model, String from, String to, List<RollOut.Step> steps)
      implements ConfigurationChange {

    /** Copies the steps. */
    public StartRollOut {
      steps = List.copyOf(steps);
    }
  }

  /**
   * Sets the step of a running roll-out; the number of steps finishes it and makes the new version
   * the model's current one.
   *
   * @param model name of the model
   * @param step index of the step
   */
  record AdvanceRollOut(String model, int step) implements ConfigurationChange {}

  /**
   * Keeps a running roll-out at its step.
   *
   * @param model name of the model
   */
  record PauseRollOut(String model) implements ConfigurationChange {}

  /**
   * Lets a paused roll-out go on.
   *
   * @param model name of the model
   */
  record ResumeRollOut(String model) implements ConfigurationChange {}

  /**
   * Gives all new work of a running or paused roll-out to the old version again.
   *
   * @param model name of the model
   */
  record AbortRollOut(String model) implements ConfigurationChange {}

  /**
   * Withdraws a version: it gets no new work. An open roll-out to it is aborted; a replacement
   * finishes an open roll-out that leads to it and aborts another one.
   *
   * @param version the version
   * @param replacement version that becomes the model's current one, or null to keep it; null also
   *     goes back to the version before if this one was the last to be rolled out
   */
  record WithdrawVersion(ModelVersion version, @Nullable String replacement)
      implements ConfigurationChange {}

  /**
   * Lets a withdrawn version take work again.
   *
   * @param version the version
   */
  record ReinstateVersion(ModelVersion version) implements ConfigurationChange {}

  /**
   * Gives an upstream no new work.
   *
   * @param upstream id of the upstream, announced or not
   */
  record DrainUpstream(String upstream) implements ConfigurationChange {}

  /**
   * Gives a drained upstream work again.
   *
   * @param upstream id of the upstream
   */
  record UndrainUpstream(String upstream) implements ConfigurationChange {}

  /**
   * Takes an entry VM off the entry list.
   *
   * @param vm node name of the VM
   */
  record DrainVm(String vm) implements ConfigurationChange {}

  /**
   * Puts a drained entry VM on the entry list again.
   *
   * @param vm node name of the VM
   */
  record UndrainVm(String vm) implements ConfigurationChange {}

  /**
   * Adds an operator's key or replaces the one of that id.
   *
   * @param key the key, hashed
   */
  record PutOperatorKey(OperatorKey key) implements ConfigurationChange {}

  /**
   * Removes an operator's key; the last one can't be removed.
   *
   * @param id id of the key
   */
  record RemoveOperatorKey(String id) implements ConfigurationChange {}

  /**
   * Sets what happens with bad versions.
   *
   * @param policy the policy
   */
  record PutVersionPolicy(VersionPolicy policy) implements ConfigurationChange {}

  /**
   * Has a request refused by all entries, since it ends the upstreams that run it.
   *
   * @param request the request
   */
  record QuarantineRequest(RequestKey request) implements ConfigurationChange {}

  /**
   * Lets a quarantined request through again.
   *
   * @param request the request
   */
  record LiftQuarantine(RequestKey request) implements ConfigurationChange {}

  /**
   * Makes a new revision with the content of an old one.
   *
   * @param revision a revision that the history still holds
   */
  record RestoreRevision(long revision) implements ConfigurationChange {}

  /**
   * Replaces everything but the quarantined requests.
   *
   * @param configuration the new content; its revision and quarantined requests are ignored
   */
  record ReplaceAll(Configuration configuration) implements ConfigurationChange {}
}
