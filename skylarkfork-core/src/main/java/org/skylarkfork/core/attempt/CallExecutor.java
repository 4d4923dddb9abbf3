package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ServiceDefinition;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.LedgerEvent;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.ledger.ClaimOutcome;
import org.skylarkfork.core.ledger.LedgerMachine;
import org.skylarkfork.core.request.AnswerMetadata;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.upstream.Announcement;

/** Runs calls to services: idempotent ones with retries and hedges, others at most once. */
final class CallExecutor {

  private static final long CLAIM_RETRY_MILLIS = 1000;
  private static final int SERVER_ERROR = 500;

  // An answer whose body was not recorded must not be returned as if it were complete.
  private static final RoutingError BODY_NOT_KEPT =
      new RoutingError(
          ErrorKind.CONFLICT,
          "The call ran, but its answer was too large to be kept. Ask the service for its effect.",
          RunState.RAN,
          null);

  private final ActiveRequests requests;
  private final RequestCollaborators collaborators;
  private final RequestSettings settings;
  private final Attempts attempts;
  private final RetryPolicy retryPolicy;
  private final HedgePolicy hedgePolicy;
  private final RequestCompleter completer;
  private final CrashGuard crashGuard;

  CallExecutor(
      ActiveRequests requests,
      RequestCollaborators collaborators,
      RequestSettings settings,
      Attempts attempts,
      RetryPolicy retryPolicy,
      HedgePolicy hedgePolicy,
      RequestCompleter completer,
      CrashGuard crashGuard) {
    this.requests = requests;
    this.collaborators = collaborators;
    this.settings = settings;
    this.attempts = attempts;
    this.retryPolicy = retryPolicy;
    this.hedgePolicy = hedgePolicy;
    this.completer = completer;
    this.crashGuard = crashGuard;
  }

  /** Starts an admitted call; a non-idempotent call is claimed in the ledger first. */
  void start(ActiveRequest active, EventContext context) {
    retryPolicy.recordRequest();
    if (active.idempotent) {
      hedgePolicy.recordRequest();
      dispatch(active, context);
      return;
    }
    // Without any upstream the call is refused before the claim, which would be a useless write.
    if (collaborators.directory().services(active.request.service(), context.now()).isEmpty()) {
      completer.fail(
          active, retryPolicy.noCapacity("no upstream of the service is known"), context);
      return;
    }
    active.phase = ActiveRequest.Phase.CLAIM;
    collaborators.ledger().claim(active.request, active.team, active.key(), context.now());
  }

  /** Dispatches, answers or refuses a call once its claim is decided. */
  void claimDecided(ActiveRequest active, LedgerEvent.ClaimAnswered event, EventContext context) {
    if (active.phase != ActiveRequest.Phase.CLAIM) {
      return;
    }
    context.timeline("request.claimed", active, null, event.state().name());
    switch (event.state()) {
      case GRANTED -> {
        active.claimed = true;
        dispatch(active, context);
      }
      case RECORDED -> answerFromRecord(active, event.outcome(), context);
      case IN_PROGRESS ->
          completer.fail(
              active,
              new RoutingError(
                  ErrorKind.IN_PROGRESS,
                  "A call with this Idempotency-Key is still running. Ask again later.",
                  RunState.UNKNOWN,
                  CLAIM_RETRY_MILLIS),
              context);
      case MISMATCH ->
          completer.fail(
              active,
              RoutingError.notRun(
                  ErrorKind.CONFLICT,
                  "The Idempotency-Key was used for another call. Use a new key for this one."),
              context);
      default ->
          completer.fail(
              active,
              RoutingError.notRunRetry(
                  ErrorKind.NOT_SERVING,
                  "The call could not be claimed and was not sent. Send it again later.",
                  CLAIM_RETRY_MILLIS),
              context);
    }
  }

  private void answerFromRecord(
      ActiveRequest active, @Nullable ClaimOutcome outcome, EventContext context) {
    if (outcome instanceof ClaimOutcome.Answered answered) {
      active.ran = true;
      active.costMicros = answered.facts().costMicros();
      active.notice = "recorded answer of request " + answered.facts().requestId();
      AnswerMetadata facts = active.facts(null, answered.facts().upstream());
      CallerEffect last =
          answered.headers().contains(LedgerMachine.BODY_DROPPED)
              ? new CallerEffect.Refuse(active.id(), BODY_NOT_KEPT, facts)
              : new CallerEffect.SendServiceAnswer(
                  active.id(), answered.status(), answered.headers(), answered.body(), facts);
      // The bill is submitted again: the first entry may have stopped between outcome and bill.
      completer.complete(
          active, last, null, completer.bill(active, active.request.service(), null), context);
      return;
    }
    if (outcome instanceof ClaimOutcome.NotRun notRun) {
      String message = "The call was not run: " + notRun.detail() + ". Send it with a new key.";
      completer.fail(active, RoutingError.notRun(ErrorKind.NO_CAPACITY, message), context);
      return;
    }
    String message =
        "It is not known whether the call ran. Don't send it again, but look at the service for"
            + " its effect.";
    completer.fail(
        active,
        new RoutingError(ErrorKind.UPSTREAM_FAILED, message, RunState.UNKNOWN, null),
        context);
  }

  /** Dispatches a call, or backs off, or fails the call. */
  void dispatch(ActiveRequest active, EventContext context) {
    RoutingError refused = crashGuard.quarantineRefusal(active);
    if (refused != null) {
      completer.fail(active, refused, context);
      return;
    }
    Configuration current = collaborators.configuration().current();
    Optional<ServiceDefinition> service = current.service(active.request.service());
    boolean allowed =
        current
            .team(active.team)
            .filter(team -> team.allowsService(active.request.service()))
            .isPresent();
    if (service.isEmpty() || !allowed) {
      String message =
          "The service was taken from the team while the call waited. Ask your operator.";
      completer.fail(
          active,
          new RoutingError(ErrorKind.NOT_ALLOWED, message, active.runState(), null),
          context);
      return;
    }
    Optional<Announcement> upstream = chooseUpstream(active, context);
    if (upstream.isPresent()) {
      send(active, upstream.get(), service.get(), context);
    } else if (!retryPolicy.backOff(active, context.now())) {
      completer.fail(
          active, retryPolicy.failure(active, "all of its upstreams are busy or out"), context);
    }
  }

  private Optional<Announcement> chooseUpstream(ActiveRequest active, EventContext context) {
    List<Announcement> candidates =
        collaborators.directory().services(active.request.service(), context.now());
    return collaborators
        .chooser()
        .choose(candidates, active.request, active.triedUpstreams, context.now());
  }

  private void send(
      ActiveRequest active,
      Announcement upstream,
      ServiceDefinition service,
      EventContext context) {
    long timeoutMillis = timeoutMillis(active, service, context.now());
    Duration watchdogTimeout = Duration.ofMillis(timeoutMillis).plus(settings.watchdogGrace());
    Attempt attempt = attempts.begin(active, upstream, null, watchdogTimeout, context);
    active.triedUpstreams.add(upstream.id());
    context.effect(
        new UpstreamEffect.DispatchCall(
            attempt.id,
            upstream.id(),
            upstream.host(),
            upstream.port(),
            active.request,
            timeoutMillis,
            active.attempts > 1));
    if (active.idempotent && active.attempts == 1) {
      scheduleHedge(active, service, context);
    }
  }

  /**
   * Returns the timeout of an attempt in milliseconds. The caller's deadline doesn't shorten the
   * timeout of a non-idempotent attempt, since a resend must be able to get its outcome.
   */
  private static long timeoutMillis(ActiveRequest active, ServiceDefinition service, Instant now) {
    if (!active.idempotent) {
      return service.timeoutMillis();
    }
    long remaining = Duration.between(now, active.request.deadline()).toMillis();
    return Math.max(1, Math.min(service.timeoutMillis(), remaining));
  }

  private void scheduleHedge(
      ActiveRequest active, ServiceDefinition service, EventContext context) {
    Optional<Duration> delay = hedgePolicy.delay(service.name());
    if (delay.isPresent()) {
      active.hedgeAt = context.now().plus(delay.get());
      requests.scheduleCheck(active, active.hedgeAt);
    }
  }

  /** Sends a hedge of a lookup that exceeded its hedge delay, if the budget allows it. */
  void hedge(ActiveRequest active, EventContext context) {
    Instant due = active.hedgeAt;
    if (due == null || active.running.size() != 1) {
      return;
    }
    if (due.isAfter(context.now())) {
      requests.scheduleCheck(active, due);
      return;
    }
    active.hedgeAt = null;
    if (crashGuard.quarantineRefusal(active) != null) {
      return;
    }
    Optional<Announcement> upstream = chooseUpstream(active, context);
    Configuration current = collaborators.configuration().current();
    Optional<ServiceDefinition> service = current.service(active.request.service());
    if (upstream.isPresent() && service.isPresent() && hedgePolicy.tryWithdraw()) {
      context.count("hedges", service.get().name());
      send(active, upstream.get(), service.get(), context);
    }
  }

  /** Completes a call with the first answer of a service and cancels its other attempts. */
  void answerReceived(
      ActiveRequest active,
      Attempt attempt,
      UpstreamEvent.ServiceAnswered event,
      EventContext context) {
    hedgePolicy.recordDuration(active.request.service(), attempt.dispatchedAt, context.now());
    attempts.end(active, attempt, true, context);
    for (Attempt loser : active.running.values()) {
      hedgePolicy.recordDuration(active.request.service(), loser.dispatchedAt, context.now());
    }
    active.ran = true;
    crashGuard.requestServed(active, context);
    active.tokens = 0;
    if (event.status() < SERVER_ERROR) {
      active.costMicros = price(active.request.service());
    }
    AnswerMetadata facts = active.facts(null, attempt.upstream);
    CallerEffect last =
        new CallerEffect.SendServiceAnswer(
            active.id(), event.status(), event.headers(), event.body(), facts);
    ClaimOutcome outcome =
        new ClaimOutcome.Answered(event.status(), event.headers(), event.body(), facts);
    completer.complete(
        active, last, outcome, completer.bill(active, active.request.service(), null), context);
  }

  private long price(String service) {
    return collaborators
        .configuration()
        .current()
        .service(service)
        .map(ServiceDefinition::callMicros)
        .orElse(0L);
  }

  /** Retries a call after a failed attempt, backs off, or fails the call. */
  void attemptFailed(
      ActiveRequest active, AttemptStage stage, String detail, EventContext context) {
    if (RunStates.after(stage) != RunState.NOT_RUN) {
      active.mayHaveStarted = true;
      active.retryForbidden = !active.idempotent;
    }
    if (!active.running.isEmpty()) {
      return;
    }
    boolean cannotRetry = active.retryForbidden || active.callerGone;
    if (!cannotRetry && retryPolicy.backOffIfBudgetEmpty(active, stage, context.now())) {
      return;
    }
    RoutingError error =
        cannotRetry
            ? retryPolicy.failure(active, detail)
            : retryPolicy.retryRefusal(active, stage, false, detail);
    if (error != null) {
      completer.fail(active, error, context);
      return;
    }
    dispatch(active, context);
  }
}
