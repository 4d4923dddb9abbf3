package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.Optional;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.OperatorEvent;

/** Reports the rule, model and version that a request would get, without running the request. */
public final class DryRunPart implements Part {

  private final ConfigurationView configuration;
  private final RuleBook rules;
  private final Planner planner;

  /**
   * Creates the part.
   *
   * @param configuration the configuration in force
   * @param rules matches requests against the rules
   * @param planner plans drafts
   */
  public DryRunPart(ConfigurationView configuration, RuleBook rules, Planner planner) {
    this.configuration = configuration;
    this.rules = rules;
    this.planner = planner;
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof OperatorEvent.DryRun dryRun) {
      output.effect(answer(dryRun, now));
    }
  }

  private OperatorEffect answer(OperatorEvent.DryRun dryRun, Instant now) {
    Optional<Team> team = configuration.current().team(dryRun.team());
    if (team.isEmpty()) {
      String message =
          "There is no team %s; list the teams and use one of them.".formatted(dryRun.team());
      return new OperatorEffect.RefuseOperator(
          dryRun.callId(), RoutingError.notRun(ErrorKind.NOT_FOUND, message));
    }
    Optional<Rule> rule = rules.match(dryRun.request(), dryRun.team(), now);
    String reason = rules.explain(dryRun.request(), dryRun.team(), now);
    Optional<Plan> plan = rule.flatMap(matched -> plan(dryRun, team.get(), matched, now));
    return new OperatorEffect.DryRunResult(
        dryRun.callId(),
        rule.map(Rule::name).orElse(null),
        plan.map(found -> reason + "\nplan: " + found.reason()).orElse(reason),
        plan.map(found -> found.steps().get(0).version()).orElse(null));
  }

  private Optional<Plan> plan(OperatorEvent.DryRun dryRun, Team team, Rule matched, Instant now) {
    if (!(matched.then() instanceof Rule.Decision.Route route)) {
      return Optional.empty();
    }
    return planner.plan(new PlanQuery(dryRun.request(), team, route, null), now);
  }
}
