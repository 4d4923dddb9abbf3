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
import org.skylarkfork.core.event.UpstreamEvent.Moment;
import org.skylarkfork.core.ledger.ClaimOutcome;
import org.skylarkfork.core.ledger.LedgerMachine;
import org.skylarkfork.core.request.AnswerFacts;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.upstream.Announcement;

/** Runs calls to plain services: idempotent ones with retries and hedges, others at most once. */
final class CallExecutor {

  private static final long CLAIM_RETRY_MILLIS = 1000;
  private static final int SERVER_ERROR = 500;

  // An answer without its body must not look like a whole one.
  private static final RoutingError BODY_NOT_KEPT =
      new RoutingError(
          ErrorKind.CONFLICT,
          "The call ran, but its answer was too large to be kept. Ask the service for its effect.",
          RunState.RAN,
          null);

  private final ActiveRequests requests;
  private final RequestCollaborators parts;
  private final RequestSettings settings;
  private final Attempts attempts;
  private final RetryPolicy retries;
  private final HedgePolicy hedging;
  private final RequestCompletion ending;
  private final CrashGuard crashes;

  CallExecutor(
      ActiveRequests requests,
      RequestCollaborators parts,
      RequestSettings settings,
      Attempts attempts,
      RetryPolicy retries,
      HedgePolicy hedging,
      RequestCompletion ending,
      CrashGuard crashes) {
    this.requests = requests;
    this.parts = parts;
    this.settings = settings;
    this.attempts = attempts;
    this.retries = retries;
    this.hedging = hedging;
    this.ending = ending;
    this.crashes = crashes;
  }

  /** Starts an admitted call; a non-idempotent one is claimed first. */
  void start(ActiveRequest active, EventContext turn) {
    retries.earn();
    if (active.idempotent) {
      hedging.earn();
      dispatch(active, turn);
      return;
    }
    // A call that no upstream can take is refused here: its claim would cost a write for nothing.
    if (parts.directory().services(active.request.service(), turn.now()).isEmpty()) {
      ending.fail(active, retries.noCapacity("no upstream of the service is known"), turn);
      return;
    }
    active.phase = ActiveRequest.Phase.CLAIM;
    parts.ledger().claim(active.request, active.team, active.key(), turn.now());
  }

  /** Goes on once a claim is decided. */
  void claimAnswered(ActiveRequest active, LedgerEvent.ClaimAnswered event, EventContext turn) {
    if (active.phase != ActiveRequest.Phase.CLAIM) {
      return;
    }
    turn.timeline("request.claimed", active, null, event.state().name());
    switch (event.state()) {
      case GRANTED -> {
        active.claimed = true;
        dispatch(active, turn);
      }
      case RECORDED -> recorded(active, event.outcome(), turn);
      case IN_PROGRESS ->
          ending.fail(
              active,
              new RoutingError(
                  ErrorKind.IN_PROGRESS,
                  "A call with this Idempotency-Key is still running. Ask again later.",
                  RunState.UNKNOWN,
                  CLAIM_RETRY_MILLIS),
              turn);
      case MISMATCH ->
          ending.fail(
              active,
              RoutingError.notRun(
                  ErrorKind.CONFLICT,
                  "The Idempotency-Key was used for another call. Use a new key for this one."),
              turn);
      default ->
          ending.fail(
              active,
              RoutingError.notRunRetry(
                  ErrorKind.NOT_SERVING,
                  "The call could not be claimed and was not sent. Send it again later.",
                  CLAIM_RETRY_MILLIS),
              turn);
    }
  }

  private void recorded(ActiveRequest active, @Nullable ClaimOutcome outcome, EventContext turn) {
    if (outcome instanceof ClaimOutcome.Answered answered) {
      active.ran = true;
      active.costMicros = answered.facts().costMicros();
      active.notice = "recorded answer of request " + answered.facts().requestId();
      AnswerFacts facts = active.facts(null, answered.facts().upstream());
      CallerEffect last =
          answered.headers().contains(LedgerMachine.BODY_DROPPED)
              ? new CallerEffect.Refuse(active.id(), BODY_NOT_KEPT, facts)
              : new CallerEffect.SendServiceAnswer(
                  active.id(), answered.status(), answered.headers(), answered.body(), facts);
      // The bill is handed in again: the first entry may have ended between outcome and bill.
      ending.end(active, last, null, ending.bill(active, active.request.service(), null), turn);
      return;
    }
    if (outcome instanceof ClaimOutcome.NotRun notRun) {
      String message = "The call was not run: " + notRun.detail() + ". Send it with a new key.";
      ending.fail(active, RoutingError.notRun(ErrorKind.NO_CAPACITY, message), turn);
      return;
    }
    String message =
        "It is not known whether the call ran. Don't send it again, but look at the service for"
            + " its effect.";
    ending.fail(
        active, new RoutingError(ErrorKind.UPSTREAM_FAILED, message, RunState.UNKNOWN, null), turn);
  }

  /** Dispatches a call, or lets it wait, or gives it up. */
  void dispatch(ActiveRequest active, EventContext turn) {
    RoutingError refused = crashes.quarantineRefusal(active);
    if (refused != null) {
      ending.fail(active, refused, turn);
      return;
    }
    Configuration current = parts.configuration().current();
    Optional<ServiceDefinition> service = current.service(active.request.service());
    boolean allowed =
        current
            .team(active.team)
            .filter(team -> team.allowsService(active.request.service()))
            .isPresent();
    if (service.isEmpty() || !allowed) {
      String message =
          "The service was taken from the team while the call waited. Ask your operator.";
      ending.fail(
          active, new RoutingError(ErrorKind.NOT_ALLOWED, message, active.runState(), null), turn);
      return;
    }
    Optional<Announcement> upstream = choose(active, turn);
    if (upstream.isPresent()) {
      send(active, upstream.get(), service.get(), turn);
    } else if (!retries.pause(active, turn.now())) {
      ending.fail(active, retries.failed(active, "all of its upstreams are busy or out"), turn);
    }
  }

  private Optional<Announcement> choose(ActiveRequest active, EventContext turn) {
    List<Announcement> candidates =
        parts.directory().services(active.request.service(), turn.now());
    return parts.chooser().choose(candidates, active.request, active.triedUpstreams, turn.now());
  }

  private void send(
      ActiveRequest active, Announcement upstream, ServiceDefinition service, EventContext turn) {
    long timeoutMillis = timeoutMillis(active, service, turn.now());
    Duration watchdog = Duration.ofMillis(timeoutMillis).plus(settings.watchdogGrace());
    Attempt attempt = attempts.begin(active, upstream, null, watchdog, turn);
    active.triedUpstreams.add(upstream.id());
    turn.effect(
        new UpstreamEffect.DispatchCall(
            attempt.id,
            upstream.id(),
            upstream.host(),
            upstream.port(),
            active.request,
            timeoutMillis));
    if (active.idempotent && active.attempts == 1) {
      planHedge(active, service, turn);
    }
  }

  /**
   * Returns how long an attempt may take. A non-idempotent one is not cut short by its caller's
   * deadline: a resend must be able to learn its outcome.
   */
  private static long timeoutMillis(ActiveRequest active, ServiceDefinition service, Instant now) {
    if (!active.idempotent) {
      return service.timeoutMillis();
    }
    long left = Duration.between(now, active.request.deadline()).toMillis();
    return Math.max(1, Math.min(service.timeoutMillis(), left));
  }

  private void planHedge(ActiveRequest active, ServiceDefinition service, EventContext turn) {
    Optional<Duration> delay = hedging.delay(service.name());
    if (delay.isPresent()) {
      active.hedgeAt = turn.now().plus(delay.get());
      requests.scheduleCheck(active, active.hedgeAt);
    }
  }

  /** Sends a second attempt of a lookup that takes longer than most, if the budget allows. */
  void hedge(ActiveRequest active, EventContext turn) {
    Instant due = active.hedgeAt;
    if (due == null || active.running.size() != 1) {
      return;
    }
    if (due.isAfter(turn.now())) {
      requests.scheduleCheck(active, due);
      return;
    }
    active.hedgeAt = null;
    if (crashes.quarantineRefusal(active) != null) {
      return;
    }
    Optional<Announcement> upstream = choose(active, turn);
    Configuration current = parts.configuration().current();
    Optional<ServiceDefinition> service = current.service(active.request.service());
    if (upstream.isPresent() && service.isPresent() && hedging.tryTake()) {
      turn.count("hedges", service.get().name());
      send(active, upstream.get(), service.get(), turn);
    }
  }

  /** Takes a service's answer; the first one wins. */
  void answered(
      ActiveRequest active, Attempt attempt, UpstreamEvent.ServiceAnswered event, EventContext turn) {
    hedging.measured(active.request.service(), attempt.dispatchedAt, turn.now());
    attempts.end(active, attempt, true, turn);
    for (Attempt loser : active.running.values()) {
      hedging.measured(active.request.service(), loser.dispatchedAt, turn.now());
    }
    active.ran = true;
    crashes.requestServed(active, turn);
    active.tokens = 0;
    if (event.status() < SERVER_ERROR) {
      active.costMicros = price(active.request.service());
    }
    AnswerFacts facts = active.facts(null, attempt.upstream);
    CallerEffect last =
        new CallerEffect.SendServiceAnswer(
            active.id(), event.status(), event.headers(), event.body(), facts);
    ClaimOutcome outcome =
        new ClaimOutcome.Answered(event.status(), event.headers(), event.body(), facts);
    ending.end(active, last, outcome, ending.bill(active, active.request.service(), null), turn);
  }

  private long price(String service) {
    return parts
        .configuration()
        .current()
        .service(service)
        .map(ServiceDefinition::callMicros)
        .orElse(0L);
  }

  /** Decides after a failed attempt: another upstream, a pause, or the end. */
  void failed(ActiveRequest active, Moment moment, String detail, EventContext turn) {
    if (RunStates.after(moment) != RunState.NOT_RUN) {
      active.mayHaveStarted = true;
      active.retryForbidden = !active.idempotent;
    }
    if (!active.running.isEmpty()) {
      return;
    }
    boolean giveUp = active.retryForbidden || active.callerGone;
    if (!giveUp && retries.waits(active, moment, turn.now())) {
      return;
    }
    RoutingError error =
        giveUp ? retries.failed(active, detail) : retries.refusal(active, moment, false, detail);
    if (error != null) {
      ending.fail(active, error, turn);
      return;
    }
    dispatch(active, turn);
  }
}
