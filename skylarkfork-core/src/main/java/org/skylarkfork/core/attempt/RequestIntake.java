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

/** Takes requests in: checks who may ask for what, matches the rule, and asks for admission. */
final class RequestIntake {

  private static final long OTHER_ENTRY_MILLIS = 0;
  private static final long IN_PROGRESS_MILLIS = 1000;
  private static final long FULL_MILLIS = 500;

  private final ActiveRequests requests;
  private final RequestCollaborators parts;
  private final RequestSettings settings;
  private final RuleMatcher routes;
  private final RequestCompletion ending;
  private final DraftExecutor drafts;
  private final CallExecutor calls;
  private final CrashGuard crashes;

  RequestIntake(
      ActiveRequests requests,
      RequestCollaborators parts,
      RequestSettings settings,
      RuleMatcher routes,
      RequestCompletion ending,
      DraftExecutor drafts,
      CallExecutor calls,
      CrashGuard crashes) {
    this.requests = requests;
    this.parts = parts;
    this.settings = settings;
    this.routes = routes;
    this.ending = ending;
    this.drafts = drafts;
    this.calls = calls;
    this.crashes = crashes;
  }

  void received(CallerRequest request, EventContext turn) {
    turn.count("requests_received", request.kind().name());
    RoutingError error = closed(request, turn);
    if (error != null) {
      ending.refuseAtOnce(request, error, turn);
      return;
    }
    Optional<Team> team = parts.configuration().teamByKeyHash(request.keyHash());
    if (team.isEmpty()) {
      String message = "The team key is missing or unknown. Ask your operator for a valid key.";
      ending.refuseAtOnce(request, RoutingError.notRun(ErrorKind.UNAUTHORIZED, message), turn);
      return;
    }
    take(request, team.get(), turn);
  }

  private @Nullable RoutingError closed(CallerRequest request, EventContext turn) {
    boolean serving =
        parts.configuration().mayServe(turn.now())
            && parts.listing().acceptsNewWork(turn.now())
            && parts.ledger().acceptsWork();
    if (!serving) {
      return RoutingError.notRunRetry(
          ErrorKind.NOT_SERVING,
          "This entry takes no new work. Send the request to another entry of the list.",
          OTHER_ENTRY_MILLIS);
    }
    if (requests.size() >= settings.maxRequests()) {
      return RoutingError.notRunRetry(
          ErrorKind.NO_CAPACITY,
          "This entry holds as many requests as it can. Send it to another entry or later.",
          FULL_MILLIS);
    }
    if (!turn.now().isBefore(request.deadline())) {
      return RoutingError.notRun(
          ErrorKind.DEADLINE, "The deadline passed. Send it again with a later deadline.");
    }
    return null;
  }

  private void take(CallerRequest request, Team team, EventContext turn) {
    Configuration current = parts.configuration().current();
    RoutingError error =
        request.kind().isDraft()
            ? modelError(request, team, current)
            : serviceError(request, team, current);
    if (error == null) {
      error = crashes.quarantineRefusal(team.name(), request);
    }
    if (error == null && request.idempotencyKey() != null) {
      error = keyError(team, request.idempotencyKey());
    }
    if (error != null) {
      ending.refuseAtOnce(request, error, turn);
      return;
    }
    Optional<Rule> rule = routes.match(request, team.name(), turn.now());
    error = ruleError(request, rule);
    if (error != null) {
      ending.refuseAtOnce(request, error, turn);
      return;
    }
    open(request, team, current, rule.orElseThrow(), turn);
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

  private @Nullable RoutingError keyError(Team team, String key) {
    if (!requests.isKeyActive(team.name(), key)) {
      return null;
    }
    return new RoutingError(
        ErrorKind.IN_PROGRESS,
        "A request with this Idempotency-Key is still running. Wait for it, or ask again later.",
        RunState.UNKNOWN,
        IN_PROGRESS_MILLIS);
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
    boolean fits = request.kind().isDraft() == decision instanceof Rule.Decision.Route;
    return fits
        ? null
        : RoutingError.notRun(
            ErrorKind.NOT_ALLOWED,
            "The rule "
                + rule.get().name()
                + " is not for this kind of request."
                + " Ask your operator to narrow its condition.");
  }

  private void open(CallerRequest request, Team team, Configuration current, Rule rule, EventContext turn) {
    boolean idempotent =
        request.kind().isDraft()
            || current.service(request.service()).orElseThrow().isIdempotent(request.method());
    ActiveRequest active = new ActiveRequest(request, team.name(), idempotent, turn.now());
    active.revision = current.revision();
    if (rule.then() instanceof Rule.Decision.Route route) {
      active.applyRoute(route);
    }
    requests.add(active);
    turn.timeline("request.received", active, null, "team " + team.name());
    turn.timeline("request.matched", active, null, "rule " + rule.name());
    if (mustAskForPins(active, turn)) {
      active.phase = ActiveRequest.Phase.PINS;
      active.phaseEnd = turn.now().plus(settings.pinTimeout());
      requests.scheduleCheck(active, active.phaseEnd);
      return;
    }
    admit(active, team, turn);
  }

  private boolean mustAskForPins(ActiveRequest active, EventContext turn) {
    return active.request.kind().isDraft()
        && active.request.session() != null
        && parts.pins().lookup(active.request, active.team, turn.now())
            == SessionPins.Lookup.PENDING;
  }

  /** Goes on once the owners of the session answered, or were asked for long enough. */
  void pinsResolved(ActiveRequest active, EventContext turn) {
    if (active.phase != ActiveRequest.Phase.PINS) {
      return;
    }
    Optional<Team> team = parts.configuration().current().team(active.team);
    if (team.isEmpty()) {
      ending.fail(active, DraftExecutor.teamGone(active.team), turn);
      return;
    }
    admit(active, team.get(), turn);
  }

  private void admit(ActiveRequest active, Team team, EventContext turn) {
    active.phase = ActiveRequest.Phase.ADMISSION;
    active.phaseEnd = null;
    Admission.Verdict verdict =
        parts.admission().submit(active.request, team, active.priority, turn.now());
    if (verdict.decision() == Admission.Decision.REFUSED) {
      ending.fail(active, Objects.requireNonNull(verdict.error()), turn);
      return;
    }
    active.inAdmission = true;
    if (verdict.decision() == Admission.Decision.ADMITTED) {
      admitted(active, turn);
    }
  }

  /** Starts a request that was admitted. */
  void admitted(ActiveRequest active, EventContext turn) {
    if (active.phase != ActiveRequest.Phase.ADMISSION) {
      return;
    }
    turn.timeline("request.admitted", active, null, "");
    turn.observe("admission_seconds", active.request.kind().name(), active.arrivedAt);
    if (active.request.kind().isDraft()) {
      drafts.start(active, turn);
    } else {
      calls.start(active, turn);
    }
  }

  /** Refuses a request whose wait for admission is over. */
  void waitRefused(ActiveRequest active, RoutingError error, EventContext turn) {
    if (active.phase == ActiveRequest.Phase.ADMISSION) {
      active.inAdmission = false;
      ending.fail(active, error, turn);
    }
  }
}
