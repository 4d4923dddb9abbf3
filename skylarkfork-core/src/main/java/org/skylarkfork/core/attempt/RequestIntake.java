package org.skylarkfork.core.attempt;

import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.admission.Admission;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.configuration.ServiceDefinition;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.session.SessionPins;

/** Accepts requests: authenticates, authorizes, matches a rule and asks for admission. */
final class RequestIntake {

  private static final long OTHER_ENTRY_RETRY_AFTER_MILLIS = 0;
  private static final long IN_PROGRESS_RETRY_AFTER_MILLIS = 1000;
  private static final long FULL_RETRY_AFTER_MILLIS = 500;

  private final ActiveRequests requests;
  private final RequestCollaborators collaborators;
  private final RequestSettings settings;
  private final RuleMatcher ruleMatcher;
  private final RequestCompleter completer;
  private final DraftExecutor drafts;
  private final CallExecutor calls;
  private final CrashGuard crashGuard;

  RequestIntake(
      ActiveRequests requests,
      RequestCollaborators collaborators,
      RequestSettings settings,
      RuleMatcher ruleMatcher,
      RequestCompleter completer,
      DraftExecutor drafts,
      CallExecutor calls,
      CrashGuard crashGuard) {
    this.requests = requests;
    this.collaborators = collaborators;
    this.settings = settings;
    this.ruleMatcher = ruleMatcher;
    this.completer = completer;
    this.drafts = drafts;
    this.calls = calls;
    this.crashGuard = crashGuard;
  }

  void received(CallerRequest request, EventContext context) {
    context.count("requests_received", request.kind().name());
    RoutingError error = acceptanceError(request, context);
    if (error != null) {
      completer.refuseWithoutState(request, error, context);
      return;
    }
    Optional<Team> team = collaborators.configuration().teamByKeyHash(request.keyHash());
    if (team.isEmpty()) {
      String message = "The team key is missing or unknown. Ask your operator for a valid key.";
      completer.refuseWithoutState(
          request, RoutingError.notRun(ErrorKind.UNAUTHORIZED, message), context);
      return;
    }
    accept(request, team.get(), context);
  }

  private @Nullable RoutingError acceptanceError(CallerRequest request, EventContext context) {
    boolean serving =
        collaborators.configuration().mayServe(context.now())
            && collaborators.listing().acceptsNewWork(context.now())
            && collaborators.ledger().acceptsWork();
    if (!serving) {
      return RoutingError.notRunRetry(
          ErrorKind.NOT_SERVING,
          "This entry takes no new work. Send the request to another entry of the list.",
          OTHER_ENTRY_RETRY_AFTER_MILLIS);
    }
    if (requests.size() >= settings.maxRequests()) {
      return RoutingError.notRunRetry(
          ErrorKind.NO_CAPACITY,
          "This entry holds as many requests as it can. Send it to another entry or later.",
          FULL_RETRY_AFTER_MILLIS);
    }
    if (!context.now().isBefore(request.deadline())) {
      return RoutingError.notRun(
          ErrorKind.DEADLINE, "The deadline passed. Send it again with a later deadline.");
    }
    return null;
  }

  private void accept(CallerRequest request, Team team, EventContext context) {
    Configuration current = collaborators.configuration().current();
    RoutingError error =
        request.kind().isDraft()
            ? modelError(request, team, current)
            : serviceError(request, team, current);
    if (error == null) {
      error = crashGuard.quarantineRefusal(team.name(), request);
    }
    if (error == null && request.idempotencyKey() != null) {
      error = duplicateKeyError(team, request.idempotencyKey());
    }
    if (error != null) {
      completer.refuseWithoutState(request, error, context);
      return;
    }
    Optional<Rule> rule = ruleMatcher.match(request, team.name(), context.now());
    error = ruleError(request, rule);
    if (error != null) {
      completer.refuseWithoutState(request, error, context);
      return;
    }
    activate(request, team, current, rule.orElseThrow(), context);
  }

  private static @Nullable RoutingError modelError(
      CallerRequest request, Team team, Configuration current) {
    if (request.model().equals(CallerRequest.AUTO)) {
      return null;
    }
    Optional<Model> model = current.model(request.model());
    if (model.isEmpty()) {
      return RoutingError.notRun(
          ErrorKind.NOT_FOUND,
          "The model " + request.model() + " does not exist. See GET /v1/models.");
    }
    boolean allowed =
        team.allowedModels().stream().anyMatch(each -> each.model().equals(request.model()));
    return allowed
        ? null
        : RoutingError.notRun(
            ErrorKind.NOT_ALLOWED,
            "Team "
                + team.name()
                + " may not use the model "
                + request.model()
                + ". See GET /v1/models, or ask your operator to allow it.");
  }

  private static @Nullable RoutingError serviceError(
      CallerRequest request, Team team, Configuration current) {
    Optional<ServiceDefinition> service = current.service(request.service());
    if (service.isEmpty()) {
      return RoutingError.notRun(
          ErrorKind.NOT_FOUND,
          "The service " + request.service() + " does not exist. Check the path.");
    }
    return team.allowsService(request.service())
        ? null
        : RoutingError.notRun(
            ErrorKind.NOT_ALLOWED,
            "Team "
                + team.name()
                + " may not call the service "
                + request.service()
                + ". Ask your operator to allow it.");
  }

  private @Nullable RoutingError duplicateKeyError(Team team, String key) {
    if (!requests.isKeyActive(team.name(), key)) {
      return null;
    }
    return new RoutingError(
        ErrorKind.IN_PROGRESS,
        "A request with this Idempotency-Key is still running. Wait for it, or ask again later.",
        RunState.UNKNOWN,
        IN_PROGRESS_RETRY_AFTER_MILLIS);
  }

  private static @Nullable RoutingError ruleError(CallerRequest request, Optional<Rule> rule) {
    if (rule.isEmpty()) {
      return RoutingError.notRun(
          ErrorKind.NOT_ALLOWED,
          "No rule matches the request. Ask your operator for a rule that covers it.");
    }
    Rule.Decision decision = rule.get().then();
    if (decision instanceof Rule.Decision.Refuse refuse) {
      return RoutingError.notRun(ErrorKind.NOT_ALLOWED, refuse.reason());
    }
    boolean matchesKind = request.kind().isDraft() == decision instanceof Rule.Decision.Route;
    return matchesKind
        ? null
        : RoutingError.notRun(
            ErrorKind.NOT_ALLOWED,
            "The rule "
                + rule.get().name()
                + " is not for this kind of request."
                + " Ask your operator to narrow its condition.");
  }

  private void activate(
      CallerRequest request, Team team, Configuration current, Rule rule, EventContext context) {
    boolean idempotent =
        request.kind().isDraft()
            || current.service(request.service()).orElseThrow().isIdempotent(request.method());
    ActiveRequest active = new ActiveRequest(request, team.name(), idempotent, context.now());
    active.revision = current.revision();
    if (rule.then() instanceof Rule.Decision.Route route) {
      active.applyRoute(route);
    }
    requests.add(active);
    context.timeline("request.received", active, null, "team " + team.name());
    context.timeline("request.matched", active, null, "rule " + rule.name());
    if (needsPinLookup(active, context)) {
      active.phase = ActiveRequest.Phase.PINS;
      active.phaseEnd = context.now().plus(settings.pinTimeout());
      requests.scheduleCheck(active, active.phaseEnd);
      return;
    }
    admit(active, team, context);
  }

  private boolean needsPinLookup(ActiveRequest active, EventContext context) {
    return active.request.kind().isDraft()
        && active.request.session() != null
        && collaborators.pins().lookup(active.request, active.team, context.now())
            == SessionPins.Lookup.PENDING;
  }

  /** Continues once the owners of the session answered or their timeout expired. */
  void pinsResolved(ActiveRequest active, EventContext context) {
    if (active.phase != ActiveRequest.Phase.PINS) {
      return;
    }
    Optional<Team> team = collaborators.configuration().current().team(active.team);
    if (team.isEmpty()) {
      completer.fail(active, DraftExecutor.teamRemoved(active.team), context);
      return;
    }
    admit(active, team.get(), context);
  }

  private void admit(ActiveRequest active, Team team, EventContext context) {
    active.phase = ActiveRequest.Phase.ADMISSION;
    active.phaseEnd = null;
    Admission.Result verdict =
        collaborators.admission().submit(active.request, team, active.priority, context.now());
    if (verdict.decision() == Admission.Decision.REFUSED) {
      completer.fail(active, Objects.requireNonNull(verdict.error()), context);
      return;
    }
    active.inAdmission = true;
    if (verdict.decision() == Admission.Decision.ADMITTED) {
      admitted(active, context);
    }
  }

  /** Starts an admitted request. */
  void admitted(ActiveRequest active, EventContext context) {
    if (active.phase != ActiveRequest.Phase.ADMISSION) {
      return;
    }
    context.timeline("request.admitted", active, null, "");
    context.observe("admission_seconds", active.request.kind().name(), active.arrivedAt);
    if (active.request.kind().isDraft()) {
      drafts.start(active, context);
    } else {
      calls.start(active, context);
    }
  }

  /** Refuses a request that admission refused after queueing. */
  void admissionRefused(ActiveRequest active, RoutingError error, EventContext context) {
    if (active.phase == ActiveRequest.Phase.ADMISSION) {
      active.inAdmission = false;
      completer.fail(active, error, context);
    }
  }
}
