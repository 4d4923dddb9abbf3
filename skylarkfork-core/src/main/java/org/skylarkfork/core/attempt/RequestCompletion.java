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
final class RequestCompletion {

  private static final Duration BILL_PAUSE = Duration.ofMillis(200);

  private final ActiveRequests requests;
  private final RequestCollaborators parts;
  private final Attempts attempts;

  /** Claims of requests that ended before their claim was decided, by request id. */
  private final Map<String, ActiveRequest> openClaims = new HashMap<>();

  RequestCompletion(ActiveRequests requests, RequestCollaborators parts, Attempts attempts) {
    this.requests = requests;
    this.parts = parts;
    this.attempts = attempts;
  }

  /** Refuses a request of which no state is held. */
  void refuseAtOnce(CallerRequest request, RoutingError error, EventContext turn) {
    ActiveRequest stateless = new ActiveRequest(request, "", true, turn.now());
    send(
        stateless,
        new CallerEffect.Refuse(request.requestId(), error, emptyFacts(stateless)),
        turn);
  }

  private static AnswerFacts emptyFacts(ActiveRequest active) {
    return active.facts(null, null);
  }

  /** Ends a request with an error: a refusal, or a broken stream if the answer had begun. */
  void fail(ActiveRequest active, RoutingError error, EventContext turn) {
    ClaimOutcome outcome =
        error.runState() == RunState.NOT_RUN
            ? new ClaimOutcome.NotRun(error.message())
            : new ClaimOutcome.Unknown(error.message());
    end(active, failure(active, error), outcome, null, turn);
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
   * @param turn the event being applied
   */
  void end(
      ActiveRequest active,
      @Nullable CallerEffect last,
      @Nullable ClaimOutcome outcome,
      @Nullable Bill bill,
      EventContext turn) {
    attempts.cancelAll(active, turn);
    release(active, turn);
    active.lastEffect = last;
    active.bill = bill;
    if (active.claimed && outcome != null) {
      active.phase = ActiveRequest.Phase.RECORD;
      parts.ledger().recordOutcome(active.id(), active.team, active.key(), outcome, turn.now());
      return;
    }
    billOrSend(active, turn);
  }

  private void release(ActiveRequest active, EventContext turn) {
    if (active.inAdmission) {
      active.inAdmission = false;
      parts.admission().release(active.id(), active.tokens, turn.now());
    }
  }

  /** Goes on once the outcome is recorded, or can't be: the answer is the caller's all the same. */
  void recorded(ActiveRequest active, boolean durable, EventContext turn) {
    if (active.phase != ActiveRequest.Phase.RECORD) {
      return;
    }
    if (!durable) {
      turn.count("outcomes_not_recorded", "");
    }
    billOrSend(active, turn);
  }

  private void billOrSend(ActiveRequest active, EventContext turn) {
    if (active.bill == null) {
      close(active, turn);
      return;
    }
    active.phase = ActiveRequest.Phase.BILL;
    active.phaseEnd = null;
    parts.ledger().bill(active.bill, turn.now());
  }

  /**
   * Goes on once the bill is safe.
   *
   * <p>A bill that is not safe is handed in again until the deadline: an answer sent before would
   * be lost to the statement if this entry ended now. The key keeps it one bill. A lookup is
   * refused at once instead: it may be sent again, and its caller should not wait.
   */
  void billed(ActiveRequest active, boolean durable, EventContext turn) {
    if (active.phase != ActiveRequest.Phase.BILL) {
      return;
    }
    Bill bill = Objects.requireNonNull(active.bill);
    if (durable) {
      active.billDurable = true;
      turn.timeline("request.billed", active, null, bill.costMicros() + " micros");
      close(active, turn);
      return;
    }
    turn.count("bills_not_durable", "");
    if (bill.lookup() || !turn.now().isBefore(active.request.deadline())) {
      active.lastEffect = active.answered ? null : unbilled(active);
      close(active, turn);
      return;
    }
    active.phaseEnd = turn.now().plus(BILL_PAUSE);
    requests.scheduleCheck(active, active.phaseEnd);
  }

  /** Hands a bill in again once its pause is over. */
  void billAgain(ActiveRequest active, EventContext turn) {
    Instant end = active.phaseEnd;
    if (end == null) {
      return;
    }
    if (end.isAfter(turn.now())) {
      requests.scheduleCheck(active, end);
      return;
    }
    billOrSend(active, turn);
  }

  private static CallerEffect unbilled(ActiveRequest active) {
    String remedy =
        active.idempotent
            ? "Send the request again with the same Idempotency-Key."
            : "Send it again with the same Idempotency-Key to get the recorded answer.";
    String message = "The answer is there but its record could not be kept in time. " + remedy;
    return failure(active, new RoutingError(ErrorKind.DEADLINE, message, RunState.RAN, null));
  }

  private void close(ActiveRequest active, EventContext turn) {
    requests.remove(active);
    CallerEffect last = active.lastEffect;
    if (last != null && !active.callerGone) {
      send(active, last, turn);
    }
  }

  /** Sends the one answer or refusal of a request. */
  private void send(ActiveRequest active, CallerEffect last, EventContext turn) {
    Invariants.check(!active.answered, "a request gets one answer");
    boolean refused =
        last instanceof CallerEffect.Refuse || last instanceof CallerEffect.BreakStream;
    Invariants.check(refused || active.billDurable, "no last frame goes out before the bill");
    active.answered = true;
    requests.startDelivery(active.id(), turn.now());
    turn.effect(last);
    note(active, last, turn);
  }

  private static void note(ActiveRequest active, CallerEffect last, EventContext turn) {
    RoutingError error = null;
    if (last instanceof CallerEffect.Refuse refuse) {
      error = refuse.error();
    } else if (last instanceof CallerEffect.BreakStream broken) {
      error = broken.error();
    }
    if (error == null) {
      turn.timeline("request.answered", active, null, active.attempts + " attempts");
      turn.count("requests_answered", active.request.kind().name());
      turn.observe("request_seconds", active.request.kind().name(), active.arrivedAt);
      return;
    }
    String what = active.streamStarted ? "request.broken" : "request.refused";
    turn.timeline(what, active, null, error.runState().header() + ": " + error.message());
    turn.count("requests_refused", error.kind().name());
  }

  /** Ends the wait of a caller whose deadline passed; what may not be lost goes on without it. */
  void deadline(ActiveRequest active, EventContext turn) {
    if (active.answered || active.callerGone) {
      return;
    }
    boolean ledgerOnly =
        active.phase == ActiveRequest.Phase.RECORD || active.phase == ActiveRequest.Phase.BILL;
    if (ledgerOnly) {
      CallerEffect last = active.lastEffect;
      send(active, last instanceof CallerEffect.Refuse ? last : unbilled(active), turn);
      active.callerGone = true;
      return;
    }
    RoutingError error = late(active);
    if (mustBeFollowed(active)) {
      send(active, failure(active, error), turn);
      active.callerGone = true;
      return;
    }
    abandonClaim(active);
    fail(active, error, turn);
  }

  private static RoutingError late(ActiveRequest active) {
    RunState state = active.runState();
    String remedy =
        state == RunState.NOT_RUN || active.idempotent
            ? "Send it again with a later deadline."
            : "Send it again with the same Idempotency-Key to learn what came of it.";
    return new RoutingError(ErrorKind.DEADLINE, "The deadline passed. " + remedy, state, null);
  }

  /** Returns whether an attempt is out whose outcome a resend must be able to learn. */
  private static boolean mustBeFollowed(ActiveRequest active) {
    return active.claimed && !active.running.isEmpty();
  }

  /** Takes note that the caller left: stops what is not wanted and bills what was used. */
  void callerLeft(ActiveRequest active, EventContext turn) {
    active.callerGone = true;
    turn.timeline("request.abandoned", active, null, "the caller left");
    turn.count("callers_left", "");
    boolean ledgerOnly =
        active.phase == ActiveRequest.Phase.RECORD || active.phase == ActiveRequest.Phase.BILL;
    if (ledgerOnly || mustBeFollowed(active)) {
      return;
    }
    abandonClaim(active);
    Bill used = active.request.kind().isDraft() ? used(active) : null;
    end(active, null, new ClaimOutcome.NotRun("the caller left before it was sent"), used, turn);
  }

  private @Nullable Bill used(ActiveRequest active) {
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
        parts
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

  private void abandonClaim(ActiveRequest active) {
    if (active.phase == ActiveRequest.Phase.CLAIM) {
      openClaims.put(active.id(), active);
    }
  }

  /** Frees a claim that was granted after its request had ended, so that a resend may run. */
  void claimAnsweredLate(LedgerEvent.ClaimAnswered event, EventContext turn) {
    ActiveRequest ended = openClaims.remove(event.requestId());
    if (ended != null && event.state() == LedgerEvent.ClaimState.GRANTED) {
      ClaimOutcome notRun = new ClaimOutcome.NotRun("the request ended before it was sent");
      parts.ledger().recordOutcome(ended.id(), ended.team, ended.key(), notRun, turn.now());
    }
  }
}
