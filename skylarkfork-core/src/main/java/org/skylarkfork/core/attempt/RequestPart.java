package org.skylarkfork.core.attempt;

import java.time.Instant;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.effect.LifecycleEffect;
import org.skylarkfork.core.event.AdmissionEvent;
import org.skylarkfork.core.event.CallerEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LedgerEvent;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.SessionEvent;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.message.CrashMessage.PartsSuspected;

/**
 * Processes each request from its arrival to its final answer or refusal.
 *
 * <p>In the reducer, this part comes after the parts whose views it reads and before admission, so
 * that admission can grant a released slot within the same event.
 */
public final class RequestPart implements Part {

  private final ActiveRequests requests = new ActiveRequests();
  private final RequestCollaborators collaborators;
  private final RequestSettings settings;
  private final Attempts attempts;
  private final RequestCompleter completer;
  private final RatingSampler sampler;
  private final DraftExecutor drafts;
  private final CallExecutor calls;
  private final RequestIntake intake;
  private final CrashGuard crashGuard;
  private boolean stopping;
  private boolean ended;

  /**
   * Creates the part.
   *
   * @param collaborators the components that request processing depends on
   * @param settings limits and timeouts
   * @param seed seed of the random jitter of backoffs and of the sampling of ratings
   */
  public RequestPart(RequestCollaborators collaborators, RequestSettings settings, long seed) {
    this.collaborators = collaborators;
    this.settings = settings;
    this.crashGuard = new CrashGuard(collaborators);
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.attempts = new Attempts(requests, collaborators);
    this.completer = new RequestCompleter(requests, collaborators, attempts);
    this.sampler = new RatingSampler(settings, collaborators.quality(), random);
    RuleMatcher ruleMatcher =
        new RuleMatcher(collaborators.configuration(), collaborators.ruleBooks());
    DraftPlanner planner = new DraftPlanner(collaborators, ruleMatcher);
    RetryPolicy retryPolicy = new RetryPolicy(requests, settings, random);
    this.drafts =
        new DraftExecutor(
            requests,
            collaborators,
            settings,
            planner,
            attempts,
            retryPolicy,
            new EscalationPolicy(requests, collaborators.quality(), settings),
            new DraftDelivery(requests, collaborators, planner, sampler, completer),
            completer,
            crashGuard);
    this.calls =
        new CallExecutor(
            requests,
            collaborators,
            settings,
            attempts,
            retryPolicy,
            new HedgePolicy(settings),
            completer,
            crashGuard);
    this.intake =
        new RequestIntake(
            requests, collaborators, settings, ruleMatcher, completer, drafts, calls, crashGuard);
  }

  /** Returns the number of requests that have not ended. */
  public int activeRequests() {
    return requests.size();
  }

  /** Returns the number of bytes of answers held in memory. */
  public long heldBytes() {
    return requests.heldBytes();
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    EventContext context = new EventContext(now, output);
    if (event instanceof CallerEvent callerEvent) {
      onCallerEvent(callerEvent, context);
    } else if (event instanceof UpstreamEvent upstreamEvent) {
      onUpstreamEvent(upstreamEvent, context);
    } else if (event instanceof LedgerEvent ledgerEvent) {
      onLedgerEvent(ledgerEvent, context);
    } else if (event instanceof AdmissionEvent admissionEvent) {
      onAdmissionEvent(admissionEvent, context);
    } else if (event instanceof SessionEvent.PinsResolved resolved) {
      ActiveRequest active = requests.find(resolved.requestId());
      if (active != null) {
        intake.pinsResolved(active, context);
      }
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof PartsSuspected question) {
      crashGuard.partsSuspected(question, requests.all(), context);
    } else if (event instanceof LifecycleEvent lifecycleEvent) {
      onLifecycleEvent(lifecycleEvent, context);
    }
    checkDueRequests(context);
    endWhenIdle(context);
  }

  private void onCallerEvent(CallerEvent event, EventContext context) {
    if (event instanceof CallerEvent.RequestReceived received) {
      intake.received(received.request(), context);
    } else if (event instanceof CallerEvent.AnswerDelivered delivered) {
      requests.endDelivery(delivered.requestId());
    } else if (event instanceof CallerEvent.CallerLeft left) {
      requests.endDelivery(left.requestId());
      ActiveRequest active = requests.find(left.requestId());
      if (active != null && !active.callerGone) {
        completer.callerLeft(active, context);
      }
    }
  }

  private void onLedgerEvent(LedgerEvent event, EventContext context) {
    if (event instanceof LedgerEvent.ClaimAnswered answered) {
      ActiveRequest active = requests.find(answered.requestId());
      if (active == null) {
        completer.claimDecidedLate(answered, context);
      } else {
        calls.claimDecided(active, answered, context);
      }
    } else if (event instanceof LedgerEvent.OutcomeRecorded recorded) {
      ActiveRequest active = requests.find(recorded.requestId());
      if (active != null) {
        completer.outcomeRecorded(active, recorded.durable(), context);
      }
    } else if (event instanceof LedgerEvent.Billed billed) {
      ActiveRequest active = requests.find(billed.requestId());
      if (active != null) {
        completer.billRecorded(active, billed.durable(), context);
      }
    }
  }

  private void onAdmissionEvent(AdmissionEvent event, EventContext context) {
    if (event instanceof AdmissionEvent.Admitted admitted) {
      ActiveRequest active = requests.find(admitted.requestId());
      if (active != null) {
        intake.admitted(active, context);
      }
    } else if (event instanceof AdmissionEvent.WaitRefused refused) {
      ActiveRequest active = requests.find(refused.requestId());
      if (active != null) {
        intake.admissionRefused(active, refused.error(), context);
      }
    }
  }

  private void onUpstreamEvent(UpstreamEvent event, EventContext context) {
    if (event instanceof UpstreamEvent.TokensArrived tokens) {
      AttemptMatch found = findAttempt(tokens.attemptId(), tokens.echoedRequestId(), context);
      if (found != null) {
        drafts.tokensArrived(found.active, found.attempt, tokens, context);
      }
    } else if (event instanceof UpstreamEvent.DraftFinished finished) {
      AttemptMatch found = findAttempt(finished.attemptId(), finished.echoedRequestId(), context);
      if (found != null) {
        drafts.draftFinished(found.active, found.attempt, finished, context);
      }
    } else if (event instanceof UpstreamEvent.ServiceAnswered answered) {
      AttemptMatch found = findAttempt(answered.attemptId(), answered.echoedRequestId(), context);
      if (found != null) {
        calls.answerReceived(found.active, found.attempt, answered, context);
      }
    } else if (event instanceof UpstreamEvent.AttemptFailed failed) {
      onAttemptFailed(failed, context);
    } else if (event instanceof UpstreamEvent.UpstreamProbed probed) {
      crashGuard.probed(probed, context);
    } else if (event instanceof UpstreamEvent.Rated rated) {
      onRating(rated.requestId(), rated.attemptId(), rated.score(), context);
    } else if (event instanceof UpstreamEvent.RatingMissing missing) {
      onRating(missing.requestId(), missing.attemptId(), null, context);
    }
  }

  /** An attempt and the request that it belongs to. */
  private record AttemptMatch(ActiveRequest active, Attempt attempt) {}

  /**
   * Returns the attempt that an answer belongs to, or null if the answer must be dropped.
   *
   * <p>An answer on a connection whose attempt was cancelled is late; an answer that names another
   * request is crossed. Both are dropped, since they would reach the wrong caller, and the attempt
   * of a crossed answer is cancelled as unhealthy.
   */
  private @Nullable AttemptMatch findAttempt(
      String attemptId, @Nullable String echoed, EventContext context) {
    ActiveRequest active = requests.findByAttempt(attemptId);
    if (active == null) {
      context.count("answers_late", "");
      return null;
    }
    Attempt attempt = active.running.get(attemptId);
    if (echoed != null && !echoed.equals(active.id())) {
      context.count("answers_crossed", attempt.upstream);
      attempts.cancel(active, attempt, false, context);
      handleFailure(
          active, attempt, AttemptStage.ANSWER_BEGUN, "the answer names another request", context);
      return null;
    }
    return new AttemptMatch(active, attempt);
  }

  private void onAttemptFailed(UpstreamEvent.AttemptFailed event, EventContext context) {
    ActiveRequest active = requests.findByAttempt(event.attemptId());
    if (active == null) {
      context.count("failures_late", event.moment().name());
      return;
    }
    Attempt attempt = active.running.get(event.attemptId());
    attempts.end(active, attempt, false, context);
    handleFailure(active, attempt, event.moment(), event.detail(), context);
  }

  private void handleFailure(
      ActiveRequest active,
      Attempt attempt,
      AttemptStage stage,
      String detail,
      EventContext context) {
    context.timeline("attempt.failed", active, attempt, stage + ": " + detail);
    context.count("attempts_failed", stage.name());
    crashGuard.attemptLost(active, attempt, stage, context);
    if (active.request.kind().isDraft()) {
      drafts.attemptFailed(active, attempt, stage, detail, context);
    } else {
      calls.attemptFailed(active, stage, detail, context);
    }
  }

  private void onRating(
      String requestId, String attemptId, @Nullable Double score, EventContext context) {
    ActiveRequest active = requests.find(requestId);
    if (active != null) {
      drafts.ratingReceived(active, attemptId, score, context);
    }
    sampler.ratingReceived(attemptId, score, context);
  }

  private void onLifecycleEvent(LifecycleEvent event, EventContext context) {
    if (event instanceof LifecycleEvent.StopRequested) {
      stopping = true;
    } else if (event instanceof LifecycleEvent.Ending) {
      context.effect(new LifecycleEffect.EndProcess());
    } else if (event instanceof LifecycleEvent.Tick) {
      crashGuard.tick(context);
      int expired = requests.expireDeliveries(context.now().minus(settings.deliveryTimeout()));
      if (expired > 0) {
        context.count("deliveries_unknown", "");
      }
    }
  }

  private void checkDueRequests(EventContext context) {
    ActiveRequest due = requests.nextDue(context.now());
    while (due != null) {
      check(due, context);
      due = requests.nextDue(context.now());
    }
  }

  private void check(ActiveRequest active, EventContext context) {
    if (!context.now().isBefore(active.effectiveDeadline())) {
      onDeadline(active, context);
    }
    if (requests.find(active.id()) != active) {
      return;
    }
    switch (active.phase) {
      case PINS -> checkPins(active, context);
      case PAUSE -> resumeAfterBackoff(active, context);
      case RATING -> checkRating(active, context);
      case BILL -> completer.retryBill(active, context);
      case ATTEMPTS -> checkAttempts(active, context);
      default -> {
        // Admission and the ledger report their results as events.
      }
    }
  }

  private void onDeadline(ActiveRequest active, EventContext context) {
    boolean delivered =
        active.request.kind().isDraft() && drafts.deliverBestAtDeadline(active, context);
    if (!delivered && !context.now().isBefore(active.request.deadline())) {
      completer.deadlineReached(active, context);
    }
  }

  private boolean isPhaseOver(ActiveRequest active, EventContext context) {
    Instant end = active.phaseEnd;
    if (end == null || !end.isAfter(context.now())) {
      return true;
    }
    requests.scheduleCheck(active, end);
    return false;
  }

  private void checkPins(ActiveRequest active, EventContext context) {
    if (isPhaseOver(active, context)) {
      context.count("pins_unresolved", "");
      intake.pinsResolved(active, context);
    }
  }

  private void resumeAfterBackoff(ActiveRequest active, EventContext context) {
    if (!isPhaseOver(active, context)) {
      return;
    }
    if (active.request.kind().isDraft()) {
      drafts.resume(active, context);
    } else {
      calls.dispatch(active, context);
    }
  }

  private void checkRating(ActiveRequest active, EventContext context) {
    HeldAnswer held = active.heldAnswer;
    if (held != null && isPhaseOver(active, context)) {
      drafts.ratingReceived(active, held.attemptId(), null, context);
    }
  }

  /** Fails attempts that timed out, and hedges a slow lookup. */
  private void checkAttempts(ActiveRequest active, EventContext context) {
    for (Attempt attempt : List.copyOf(active.running.values())) {
      if (attempt.timeoutAt().isAfter(context.now())) {
        requests.scheduleCheck(active, attempt.timeoutAt());
      } else if (active.running.containsKey(attempt.id)) {
        attempts.cancel(active, attempt, false, context);
        AttemptStage stage = attempt.tokens > 0 ? AttemptStage.ANSWER_BEGUN : AttemptStage.WRITTEN;
        handleFailure(active, attempt, stage, "the upstream was silent for too long", context);
      }
    }
    if (requests.find(active.id()) == active) {
      calls.hedge(active, context);
    }
  }

  /** Raises the end of the daemon once it is stopping, unlisted, idle and settled in the ledger. */
  private void endWhenIdle(EventContext context) {
    boolean canEnd =
        stopping
            && !ended
            && requests.isIdle()
            && collaborators.ledger().isSettled()
            && !collaborators.listing().acceptsNewWork(context.now());
    if (canEnd) {
      ended = true;
      context.output().raise(new LifecycleEvent.Ending());
    }
  }
}
