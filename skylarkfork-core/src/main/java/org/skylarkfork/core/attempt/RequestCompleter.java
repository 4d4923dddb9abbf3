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
import org.skylarkfork.core.request.AnswerMetadata;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.request.Usage;

/**
 * Completes requests: records the outcome, submits the bill, sends the final frame and releases all
 * resources.
 *
 * <p>Billed are the complete answer of each step and, if the caller left, the tokens received until
 * then. Failed attempts and attempts that lost against a hedge are free.
 */
final class RequestCompleter {

  private static final Duration BILL_RETRY_DELAY = Duration.ofMillis(200);

  private final ActiveRequests requests;
  private final RequestCollaborators collaborators;
  private final Attempts attempts;

  /** Requests that ended before their claim was decided, by request id. */
  private final Map<String, ActiveRequest> undecidedClaims = new HashMap<>();

  RequestCompleter(ActiveRequests requests, RequestCollaborators collaborators, Attempts attempts) {
    this.requests = requests;
    this.collaborators = collaborators;
    this.attempts = attempts;
  }

  /** Refuses a request that was never registered as active. */
  void refuseWithoutState(CallerRequest request, RoutingError error, EventContext context) {
    ActiveRequest stateless = new ActiveRequest(request, "", true, context.now());
    send(
        stateless,
        new CallerEffect.Refuse(request.requestId(), error, emptyFacts(stateless)),
        context);
  }

  private static AnswerMetadata emptyFacts(ActiveRequest active) {
    return active.facts(null, null);
  }

  /** Completes a request with an error: a refusal, or a broken stream if the answer started. */
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
   * Completes a request.
   *
   * @param active the request
   * @param last the final frame for the caller, or null if the caller left
   * @param outcome the outcome to record for a claim; unused for a request without a claim
   * @param bill the bill that must be durable before the final frame is sent, or null for none
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

  /** Continues after an attempt to record the outcome; the caller gets its answer in any case. */
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
   * Sends the final frame once the bill is durable.
   *
   * <p>A bill that is not durable is submitted again until the deadline: if the answer were sent
   * first and this entry crashed, the bill would be missing from the statement. The key of the bill
   * prevents duplicates. A lookup is refused immediately instead, since its caller may resend it
   * and should not wait.
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

  /** Submits a bill again once its retry delay is over. */
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

  /** Sends the final frame of a request, an answer or a refusal. */
  private void send(ActiveRequest active, CallerEffect last, EventContext context) {
    Invariants.check(!active.answered, "a request gets one answer");
    boolean refused =
        last instanceof CallerEffect.Refuse || last instanceof CallerEffect.BreakStream;
    Invariants.check(
        refused || active.billDurable, "no final answer frame is sent before the bill is durable");
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
    context.timeline(what, active, null, error.runState().headerValue() + ": " + error.message());
    context.count("requests_refused", error.kind().name());
  }

  /**
   * Refuses a caller whose deadline passed. Pending ledger writes and a claimed call that is
   * running continue without the caller.
   */
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

  /** Returns whether a claimed attempt is running whose outcome a resend must be able to get. */
  private static boolean mustTrackOutcome(ActiveRequest active) {
    return active.claimed && !active.running.isEmpty();
  }

  /** Handles a caller that left: cancels work that is not needed and bills what was used. */
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

  /** Adds the cost and the tokens of a step to the request. */
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

  /** Creates the bill of a request. */
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

  /** Releases a claim that was granted after its request ended, so that a resend may run. */
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
