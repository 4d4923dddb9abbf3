package org.skylarkfork.core.attempt;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.routing.Plan;
import org.skylarkfork.core.routing.PlanQuery;

/** Plans drafts under the current configuration and the pins of their sessions. */
final class DraftPlanner {

  private static final long RETRY_AFTER_MILLIS = 1000;

  private final RequestCollaborators collaborators;
  private final RuleMatcher ruleMatcher;

  DraftPlanner(RequestCollaborators collaborators, RuleMatcher ruleMatcher) {
    this.collaborators = collaborators;
    this.ruleMatcher = ruleMatcher;
  }

  /** Returns whether the current configuration allows a version to run the request. */
  boolean mayRun(ActiveRequest active, ModelVersion version) {
    Configuration current = collaborators.configuration().current();
    return !current.isWithdrawn(version)
        && current.team(active.team).filter(team -> team.allows(version)).isPresent();
  }

  /**
   * Plans a draft, and matches its rule again if the configuration changed.
   *
   * @return the error if there is no plan, or null if the request has a plan
   */
  @Nullable RoutingError plan(ActiveRequest active, Instant now) {
    Configuration current = collaborators.configuration().current();
    Optional<Team> team = current.team(active.team);
    if (team.isEmpty()) {
      return DraftExecutor.teamRemoved(active.team);
    }
    RoutingError error = rematchRule(active, current, now);
    if (error != null) {
      return error;
    }
    Rule.Decision.Route route = Objects.requireNonNull(active.route);
    ModelVersion pinned = preferredPin(active, route);
    PlanQuery query = new PlanQuery(active.request, team.get(), route, pinned);
    Optional<Plan> plan =
        collaborators.planner().plan(query, now).map(found -> restrictToRunnable(active, found));
    if (plan.isEmpty() || plan.get().steps().isEmpty()) {
      return noPlan(active, route, current);
    }
    active.plan = plan.get();
    if (plan.get().notice() != null) {
      active.notice = plan.get().notice();
    }
    active.step = 0;
    return null;
  }

  /** Returns a temporary error if an allowed version only lacks upstreams, else a final one. */
  private RoutingError noPlan(
      ActiveRequest active, Rule.Decision.Route route, Configuration current) {
    boolean anyAllowed =
        current.models().stream()
            .filter(model -> route.models().isEmpty() || route.models().contains(model.name()))
            .flatMap(
                model ->
                    model.versions().stream()
                        .map(version -> new ModelVersion(model.name(), version.name())))
            .anyMatch(version -> mayRun(active, version));
    if (anyAllowed) {
      return RoutingError.notRunRetry(
          ErrorKind.NO_CAPACITY,
          "No allowed version of the wanted models has an upstream now. Send it again later.",
          RETRY_AFTER_MILLIS);
    }
    return RoutingError.notRun(
        ErrorKind.NOT_ALLOWED,
        "Every version of the wanted models is withdrawn or not allowed for team "
            + active.team
            + ". Ask your operator.");
  }

  private @Nullable RoutingError rematchRule(
      ActiveRequest active, Configuration current, Instant now) {
    if (active.revision == current.revision()) {
      return null;
    }
    Optional<Rule> rule = ruleMatcher.match(active.request, active.team, now);
    if (rule.isPresent() && rule.get().then() instanceof Rule.Decision.Route route) {
      active.applyRoute(route);
      active.revision = current.revision();
      return null;
    }
    return RoutingError.notRun(
        ErrorKind.NOT_ALLOWED,
        "The rules changed while the request waited, and none allows it. Ask your operator.");
  }

  private @Nullable ModelVersion preferredPin(ActiveRequest active, Rule.Decision.Route route) {
    CallerRequest request = active.request;
    if (request.session() == null) {
      return null;
    }
    List<String> models = new ArrayList<>(route.models());
    if (!request.model().equals(CallerRequest.AUTO)) {
      models.remove(request.model());
      models.add(0, request.model());
    }
    for (String model : models) {
      ModelVersion pinned = pinnedVersion(active, model);
      if (pinned != null) {
        return pinned;
      }
    }
    return null;
  }

  /** Returns the version of a model that the session is pinned to, or null if it may not run. */
  @Nullable ModelVersion pinnedVersion(ActiveRequest active, String model) {
    String session = active.request.session();
    if (session == null) {
      return null;
    }
    Optional<ModelVersion> pinned = collaborators.pins().pinned(active.team, session, model);
    if (pinned.isPresent() && !mayRun(active, pinned.get())) {
      active.notice = "session moved: " + pinned.get() + " is withdrawn or not allowed any more";
      return null;
    }
    return pinned.orElse(null);
  }

  /**
   * Replaces planned versions by those that the session is pinned to, and removes versions that may
   * not run or have already finished a step.
   */
  private Plan restrictToRunnable(ActiveRequest active, Plan plan) {
    List<Plan.Step> steps = new ArrayList<>();
    for (Plan.Step step : plan.steps()) {
      ModelVersion pinned = pinnedVersion(active, step.version().model());
      ModelVersion version = pinned == null ? step.version() : pinned;
      if (mayRun(active, version) && !active.finishedVersions.contains(version)) {
        steps.add(new Plan.Step(version, step.rated()));
      }
    }
    return new Plan(
        steps, plan.qualityTarget(), plan.expectedCostMicros(), plan.reason(), plan.notice());
  }
}
