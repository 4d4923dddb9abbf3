package org.skylarkfork.core.configuration;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.crash.RequestKey;

/** A change to the configuration, requested by an operator or by the system itself. */
public sealed interface ConfigurationChange {

  /**
   * Adds a team or replaces the one with the same name.
   *
   * @param team the whole team with its keys
   */
  record PutTeam(Team team) implements ConfigurationChange {}

  /**
   * Removes a team that no rule and no step of an open roll-out refers to.
   *
   * @param name name of the team
   */
  record RemoveTeam(String name) implements ConfigurationChange {}

  /**
   * Adds a key to a team or replaces the key with the same id.
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
   * Adds a model or replaces the one with the same name.
   *
   * @param model the whole model with its versions
   */
  record PutModel(Model model) implements ConfigurationChange {}

  /**
   * Removes a model that no team, rule or roll-out refers to, together with its withdrawals.
   *
   * @param name name of the model
   */
  record RemoveModel(String name) implements ConfigurationChange {}

  /**
   * Adds a plain service or replaces the one with the same name.
   *
   * @param service the whole service
   */
  record PutService(ServiceDefinition service) implements ConfigurationChange {}

  /**
   * Removes a plain service that no team and no rule refers to.
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
   * Adds a rule or replaces the one with the same name.
   *
   * @param rule the rule
   * @param position index of the rule among all rules, from 0; null keeps the index of the rule
   *     that it replaces, or appends a new rule
   */
  record PutRule(Rule rule, @Nullable Integer position) implements ConfigurationChange {}

  /**
   * Removes a rule.
   *
   * @param name name of the rule
   */
  record RemoveRule(String name) implements ConfigurationChange {}

  /**
   * Moves a rule to another position.
   *
   * @param name name of the rule
   * @param position new index of the rule among all rules, from 0
   */
  record MoveRule(String name, int position) implements ConfigurationChange {}

  /**
   * Starts a roll-out at its first step; replaces a finished or aborted roll-out of the same model.
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
   * Sets the step of a running roll-out. A step equal to the number of steps finishes the roll-out
   * and makes the new version the model's current one.
   *
   * @param model name of the model
   * @param step index of the step, from 0 to the number of steps
   */
  record AdvanceRollOut(String model, int step) implements ConfigurationChange {}

  /**
   * Pauses a running roll-out at its current step.
   *
   * @param model name of the model
   */
  record PauseRollOut(String model) implements ConfigurationChange {}

  /**
   * Resumes a paused roll-out.
   *
   * @param model name of the model
   */
  record ResumeRollOut(String model) implements ConfigurationChange {}

  /**
   * Aborts a running or paused roll-out; all new work goes to the old version again.
   *
   * @param model name of the model
   */
  record AbortRollOut(String model) implements ConfigurationChange {}

  /**
   * Withdraws a version, which then receives no new work. An open roll-out to the version is
   * aborted. If a replacement is given, an open roll-out to the replacement is finished and any
   * other open roll-out of the model is aborted.
   *
   * @param version the version
   * @param replacement version that becomes the model's current one, or null to keep the current
   *     one; with null, the model returns to the previous version if the withdrawn version is the
   *     current one and came from the latest finished roll-out
   */
  record WithdrawVersion(ModelVersion version, @Nullable String replacement)
      implements ConfigurationChange {}

  /**
   * Reinstates a withdrawn version, which may then receive new work again.
   *
   * @param version the version
   */
  record ReinstateVersion(ModelVersion version) implements ConfigurationChange {}

  /**
   * Drains an upstream, which then receives no new work.
   *
   * @param upstream id of the upstream, announced or not
   */
  record DrainUpstream(String upstream) implements ConfigurationChange {}

  /**
   * Ends the draining of an upstream, which may then receive new work again.
   *
   * @param upstream id of the upstream
   */
  record UndrainUpstream(String upstream) implements ConfigurationChange {}

  /**
   * Drains an entry VM: removes it from the entry list.
   *
   * @param vm node name of the VM
   */
  record DrainVm(String vm) implements ConfigurationChange {}

  /**
   * Ends the draining of an entry VM: adds it to the entry list again.
   *
   * @param vm node name of the VM
   */
  record UndrainVm(String vm) implements ConfigurationChange {}

  /**
   * Adds an operator's key or replaces the one with the same id.
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
   * Sets how versions with bad ratings are handled.
   *
   * @param policy the policy
   */
  record PutVersionPolicy(VersionPolicy policy) implements ConfigurationChange {}

  /**
   * Quarantines a request that crashes the upstreams that run it; all entries refuse it.
   *
   * @param request the request
   */
  record QuarantineRequest(RequestKey request) implements ConfigurationChange {}

  /**
   * Lifts the quarantine of a request.
   *
   * @param request the request
   */
  record LiftQuarantine(RequestKey request) implements ConfigurationChange {}

  /**
   * Creates a new revision with the content of an old one.
   *
   * @param revision a revision that the history still holds
   */
  record RestoreRevision(long revision) implements ConfigurationChange {}

  /**
   * Replaces the whole configuration except the quarantined requests.
   *
   * @param configuration the new content; its revision and quarantined requests are ignored
   */
  record ReplaceAll(Configuration configuration) implements ConfigurationChange {}
}
