package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.LedgerEvent;
import org.skylarkfork.core.ledger.Bill;
import org.skylarkfork.core.ledger.ClaimOutcome;
import org.skylarkfork.core.request.AnswerFacts;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.request.Usage;

/**
 * Brings requests to their one end: outcome recorded, bill safe, last frame sent, all given back.
 *
 * <p>What is billed: each whole answer of a step, and of a caller that left the tokens that had
 * come by then. Attempts that failed or lost against a hedge cost the team nothing.
 */
final class RequestCompleter {

  private static final Duration BILL_RETRY_DELAY = Duration.ofMillis(200);

  private final ActiveRequests requests;
  private final RequestCollaborators collaborators;
  private final Attempts attempts;

  /** Claims of requests that ended before their claim was decided, by request id. */
  private final Map<String, ActiveRequest> undecidedClaims = new HashMap<>();

  RequestCompleter(ActiveRequests requests, RequestCollaborators collaborators, Attempts attempts) {
    this.requests = requests;
    this.collaborators = collaborators;
    this.attempts = attempts;
  }

  /** Refuses a request of which no state is held. */
  void refuseWithoutState(CallerRequest request, RoutingError error, EventContext context) {
    ActiveRequest stateless = new ActiveRequest(request, "", true, context.now());
    send(
        stateless,
        new CallerEffect.Refuse(request.requestId(), error, emptyFacts(stateless)),
        context);
  }

  private static AnswerFacts emptyFacts(ActiveRequest active) {
    return active.facts(null, null);
  }

  /** Ends a request with an error: a refusal, or a broken stream if the answer had begun. */
  void fail(ActiveRequest active, RoutingError error, EventContext context) {
    ClaimOutcome outcome =
        error.runState() == RunState.NOT_RUN
            ? new ClaimOutcome.NotRun(error.message())
            : new ClaimOutcome.Unknown(error.message());
    complete(active, failure(active, error), outcome, null, context);
  }

  private static CallerEffect failure(ActiveRequest active, RoutingError error) {
    return active.streamStarted
        ? new CallerEffect.BreakStream(active.id(), error, emptyFacts(active))
        : new CallerEffect.Refuse(active.id(), error, emptyFacts(active));
  }

  /**
   * Ends a request.
   *
   * @param active the request
   * @param last what the caller gets last, or null if it left
   * @param outcome what a claim is to record; unused for a request without a claim
   * @param bill what is billed before, or null for nothing
   * @param context the event being applied
   */
  void complete(
      ActiveRequest active,
      @Nullable CallerEffect last,
      @Nullable ClaimOutcome outcome,
      @Nullable Bill bill,
      EventContext context) {
    attempts.cancelAll(active, context);
    release(active, context);
    active.lastEffect = last;
    active.bill = bill;
    if (active.claimed && outcome != null) {
      active.phase = ActiveRequest.Phase.RECORD;
      collaborators
          .ledger()
          .recordOutcome(active.id(), active.team, active.key(), outcome, context.now());
      return;
    }
    billOrSend(active, context);
  }

  private void release(ActiveRequest active, EventContext context) {
    if (active.inAdmission) {
      active.inAdmission = false;
      collaborators.admission().release(active.id(), active.tokens, context.now());
    }
  }

  /** Goes on once the outcome is recorded, or can't be: the answer is the caller's all the same. */
  void outcomeRecorded(ActiveRequest active, boolean durable, EventContext context) {
    if (active.phase != ActiveRequest.Phase.RECORD) {
      return;
    }
    if (!durable) {
      context.count("outcomes_not_recorded", "");
    }
    billOrSend(active, context);
  }

  private void billOrSend(ActiveRequest active, EventContext context) {
    if (active.bill == null) {
      close(active, context);
      return;
    }
    active.phase = ActiveRequest.Phase.BILL;
    active.phaseEnd = null;
    collaborators.ledger().bill(active.bill, context.now());
  }

  /**
   * Goes on once the bill is safe.
   *
   * <p>A bill that is not safe is handed in again until the deadline: an answer sent before would
   * be lost to the statement if this entry ended now. The key keeps it one bill. A lookup is
   * refused at once instead: it may be sent again, and its caller should not wait.
   */
  void billRecorded(ActiveRequest active, boolean durable, EventContext context) {
    if (active.phase != ActiveRequest.Phase.BILL) {
      return;
    }
    Bill bill = Objects.requireNonNull(active.bill);
    if (durable) {
      active.billDurable = true;
      context.timeline("request.billed", active, null, bill.costMicros() + " micros");
      close(active, context);
      return;
    }
    context.count("bills_not_durable", "");
    if (bill.lookup() || !context.now().isBefore(active.request.deadline())) {
      active.lastEffect = active.answered ? null : billingFailure(active);
      close(active, context);
      return;
    }
    active.phaseEnd = context.now().plus(BILL_RETRY_DELAY);
    requests.scheduleCheck(active, active.phaseEnd);
  }

  /** Hands a bill in again once its pause is over. */
  void retryBill(ActiveRequest active, EventContext context) {
    Instant end = active.phaseEnd;
    if (end == null) {
      return;
    }
    if (end.isAfter(context.now())) {
      requests.scheduleCheck(active, end);
      return;
    }
    billOrSend(active, context);
  }

  private static CallerEffect billingFailure(ActiveRequest active) {
    String remedy =
        active.idempotent
            ? "Send the request again with the same Idempotency-Key."
            : "Send it again with the same Idempotency-Key to get the recorded answer.";
    String message = "The answer is there but its record could not be kept in time. " + remedy;
    return failure(active, new RoutingError(ErrorKind.DEADLINE, message, RunState.RAN, null));
  }

  private void close(ActiveRequest active, EventContext context) {
    requests.remove(active);
    CallerEffect last = active.lastEffect;
    if (last != null && !active.callerGone) {
      send(active, last, context);
    }
  }

  /** Sends the one answer or refusal of a request. */
  private void send(ActiveRequest active, CallerEffect last, EventContext context) {
    Invariants.check(!active.answered, "a request gets one answer");
    boolean refused =
        last instanceof CallerEffect.Refuse || last instanceof CallerEffect.BreakStream;
    Invariants.check(refused || active.billDurable, "no last frame goes out before the bill");
    active.answered = true;
    requests.startDelivery(active.id(), context.now());
    context.effect(last);
    traceResult(active, last, context);
  }

  private static void traceResult(ActiveRequest active, CallerEffect last, EventContext context) {
    RoutingError error = null;
    if (last instanceof CallerEffect.Refuse refuse) {
      error = refuse.error();
    } else if (last instanceof CallerEffect.BreakStream broken) {
      error = broken.error();
    }
    if (error == null) {
      context.timeline("request.answered", active, null, active.attempts + " attempts");
      context.count("requests_answered", active.request.kind().name());
      context.observe("request_seconds", active.request.kind().name(), active.arrivedAt);
      return;
    }
    String what = active.streamStarted ? "request.broken" : "request.refused";
    context.timeline(what, active, null, error.runState().header() + ": " + error.message());
    context.count("requests_refused", error.kind().name());
  }

  /** Ends the wait of a caller whose deadline passed; what may not be lost goes on without it. */
  void deadlineReached(ActiveRequest active, EventContext context) {
    if (active.answered || active.callerGone) {
      return;
    }
    boolean ledgerOnly =
        active.phase == ActiveRequest.Phase.RECORD || active.phase == ActiveRequest.Phase.BILL;
    if (ledgerOnly) {
      CallerEffect last = active.lastEffect;
      send(active, last instanceof CallerEffect.Refuse ? last : billingFailure(active), context);
      active.callerGone = true;
      return;
    }
    RoutingError error = deadlineError(active);
    if (mustTrackOutcome(active)) {
      send(active, failure(active, error), context);
      active.callerGone = true;
      return;
    }
    trackUndecidedClaim(active);
    fail(active, error, context);
  }

  private static RoutingError deadlineError(ActiveRequest active) {
    RunState state = active.runState();
    String remedy =
        state == RunState.NOT_RUN || active.idempotent
            ? "Send it again with a later deadline."
            : "Send it again with the same Idempotency-Key to learn what came of it.";
    return new RoutingError(ErrorKind.DEADLINE, "The deadline passed. " + remedy, state, null);
  }

  /** Returns whether an attempt is out whose outcome a resend must be able to learn. */
  private static boolean mustTrackOutcome(ActiveRequest active) {
    return active.claimed && !active.running.isEmpty();
  }

  /** Takes note that the caller left: stops what is not wanted and bills what was used. */
  void callerLeft(ActiveRequest active, EventContext context) {
    active.callerGone = true;
    context.timeline("request.abandoned", active, null, "the caller left");
    context.count("callers_left", "");
    boolean ledgerOnly =
        active.phase == ActiveRequest.Phase.RECORD || active.phase == ActiveRequest.Phase.BILL;
    if (ledgerOnly || mustTrackOutcome(active)) {
      return;
    }
    trackUndecidedClaim(active);
    Bill used = active.request.kind().isDraft() ? usageBill(active) : null;
    complete(
        active, null, new ClaimOutcome.NotRun("the caller left before it was sent"), used, context);
  }

  private @Nullable Bill usageBill(ActiveRequest active) {
    long tokens = active.answer.tokens();
    boolean partial = tokens > 0 && active.heldAnswer == null;
    ModelVersion version = active.plan == null ? null : active.currentStep().version();
    if (version == null || (active.costMicros == 0 && !partial)) {
      return null;
    }
    if (partial) {
      charge(active, version, new Usage(active.request.promptTokens(), (int) tokens, 0));
    }
    return bill(active, version.model(), version);
  }

  /** Adds a step's usage to what the request costs. */
  void charge(ActiveRequest active, ModelVersion version, Usage usage) {
    active.tokens += usage.promptTokens() + usage.completionTokens();
    active.costMicros +=
        collaborators
            .configuration()
            .current()
            .model(version.model())
            .flatMap(model -> model.version(version.version()))
            .map(priced -> priced.price().costMicros(usage))
            .orElse(0L);
  }

  /** Makes the bill of a request. */
  Bill bill(ActiveRequest active, String model, @Nullable ModelVersion version) {
    boolean lookup = !active.request.kind().isDraft() && active.idempotent;
    String name = version == null ? null : version.version();
    return new Bill(active.id(), active.team, active.key(), model, name, active.costMicros, lookup);
  }

  private void trackUndecidedClaim(ActiveRequest active) {
    if (active.phase == ActiveRequest.Phase.CLAIM) {
      undecidedClaims.put(active.id(), active);
    }
  }

  /** Frees a claim that was granted after its request had ended, so that a resend may run. */
  void claimDecidedLate(LedgerEvent.ClaimAnswered event, EventContext context) {
    ActiveRequest ended = undecidedClaims.remove(event.requestId());
    if (ended != null && event.state() == LedgerEvent.ClaimState.GRANTED) {
      ClaimOutcome notRun = new ClaimOutcome.NotRun("the request ended before it was sent");
      collaborators
          .ledger()
          .recordOutcome(ended.id(), ended.team, ended.key(), notRun, context.now());
    }
  }
}
