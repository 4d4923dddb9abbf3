package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.request.Usage;
import org.skylarkfork.core.upstream.Announcement;

/** Runs drafts on engines: plans, dispatches, resumes streams and completes each step. */
final class DraftExecutor {

  private static final int MAX_REPLANS = 3;
  private static final long RETRY_AFTER_MILLIS = 1000;

  private final ActiveRequests requests;
  private final RequestCollaborators collaborators;
  private final RequestSettings settings;
  private final DraftPlanner planner;
  private final Attempts attempts;
  private final RetryPolicy retryPolicy;
  private final EscalationPolicy escalationPolicy;
  private final DraftDelivery delivery;
  private final RequestCompleter completer;
  private final CrashGuard crashGuard;
  private final FirstTokenTimeouts firstTokenTimeouts;

  DraftExecutor(
      ActiveRequests requests,
      RequestCollaborators collaborators,
      RequestSettings settings,
      DraftPlanner planner,
      Attempts attempts,
      RetryPolicy retryPolicy,
      EscalationPolicy escalationPolicy,
      DraftDelivery delivery,
      RequestCompleter completer,
      CrashGuard crashGuard) {
    this.requests = requests;
    this.collaborators = collaborators;
    this.settings = settings;
    this.planner = planner;
    this.attempts = attempts;
    this.retryPolicy = retryPolicy;
    this.escalationPolicy = escalationPolicy;
    this.delivery = delivery;
    this.completer = completer;
    this.crashGuard = crashGuard;
    this.firstTokenTimeouts = new FirstTokenTimeouts(settings);
  }

  static RoutingError teamRemoved(String team) {
    return RoutingError.notRun(
        ErrorKind.UNAUTHORIZED, "The team " + team + " was removed. Ask your operator.");
  }

  /** Starts an admitted draft. */
  void start(ActiveRequest active, EventContext context) {
    retryPolicy.recordRequest();
    plan(active, context);
  }

  private void plan(ActiveRequest active, EventContext context) {
    RoutingError error = planner.plan(active, context.now());
    if (error != null) {
      boolean mayBeTemporary = error.kind() == ErrorKind.NO_CAPACITY && active.bestAnswer == null;
      if (!mayBeTemporary || !retryPolicy.backOff(active, context.now())) {
        deliverBestOrFail(active, withRunState(active, error), context);
      }
      return;
    }
    active.needsPlan = false;
    active.stepAttempts = 0;
    active.triedUpstreams.clear();
    context.timeline("request.planned", active, null, Objects.requireNonNull(active.plan).reason());
    dispatch(active, context);
  }

  private static RoutingError withRunState(ActiveRequest active, RoutingError error) {
    return new RoutingError(
        error.kind(), error.message(), active.runState(), error.retryAfterMillis());
  }

  /** Continues after a backoff, with a new plan if there is none yet. */
  void resume(ActiveRequest active, EventContext context) {
    if (active.needsPlan) {
      plan(active, context);
    } else {
      dispatch(active, context);
    }
  }

  /** Dispatches the current step, or backs off, or ends the draft. */
  void dispatch(ActiveRequest active, EventContext context) {
    RoutingError refused = crashGuard.quarantineRefusal(active);
    if (refused != null) {
      deliverBestOrFail(active, refused, context);
      return;
    }
    ModelVersion version = active.currentStep().version();
    if (!planner.mayRun(active, version)) {
      replan(active, version, context);
      return;
    }
    List<Announcement> candidates = collaborators.directory().engines(version, context.now());
    Optional<Announcement> upstream =
        collaborators
            .chooser()
            .choose(candidates, active.request, active.triedUpstreams, context.now());
    if (upstream.isPresent()) {
      send(active, upstream.get(), version, context);
    } else if (!retryPolicy.backOff(active, context.now())) {
      deliverBestOrFail(
          active, retryPolicy.failure(active, "all engines of " + version + " are busy"), context);
    }
  }

  /**
   * Makes a new plan after a version was withdrawn or forbidden while the request waited. A stream
   * that already started ends with an error, since another version can't continue the answer.
   */
  private void replan(ActiveRequest active, ModelVersion version, EventContext context) {
    active.replans++;
    context.timeline("request.replanned", active, null, version + " may not run any more");
    if (active.streamStarted || active.replans > MAX_REPLANS) {
      String message =
          version + " was withdrawn or forbidden before the answer was whole. Send it again.";
      deliverBestOrFail(
          active, new RoutingError(ErrorKind.NOT_ALLOWED, message, active.runState(), 0L), context);
      return;
    }
    requests.clearAnswer(active);
    active.needsPlan = true;
    plan(active, context);
  }

  private void send(
      ActiveRequest active, Announcement upstream, ModelVersion version, EventContext context) {
    Duration remaining = Duration.between(context.now(), active.request.deadline());
    Duration versionTimeout = firstTokenTimeouts.timeout(version);
    Duration firstTokenTimeout =
        remaining.compareTo(versionTimeout) < 0 ? remaining : versionTimeout;
    Duration watchdogTimeout = firstTokenTimeout.plus(settings.watchdogGrace());
    if (active.attempts == 0) {
      active.sampled = delivery.drawSample(version);
    }
    Attempt attempt = attempts.begin(active, upstream, version, watchdogTimeout, context);
    attempt.resumeOffset = active.answer.tokens();
    active.triedUpstreams.add(upstream.id());
    context.effect(
        new UpstreamEffect.DispatchDraft(
            attempt.id,
            upstream.id(),
            upstream.host(),
            upstream.port(),
            active.request,
            version,
            active.answer.tokens(),
            active.priority,
            Math.max(1, firstTokenTimeout.toMillis()),
            active.attempts > 1));
  }

  /** Appends tokens of the running attempt, or aborts the attempt if there is a gap. */
  void tokensArrived(
      ActiveRequest active,
      Attempt attempt,
      UpstreamEvent.TokensArrived event,
      EventContext context) {
    attempt.lastProgressAt = context.now();
    AnswerBuffer.ChunkPosition position = active.answer.classify(event.offset(), event.tokens());
    if (position == AnswerBuffer.ChunkPosition.DUPLICATE) {
      context.count("tokens_duplicate", "");
      return;
    }
    if (position == AnswerBuffer.ChunkPosition.GAP) {
      context.count("answers_with_gap", "");
      abortAttempt(active, attempt, "tokens are missing from the answer", context);
      return;
    }
    if (attempt.firstTokenAt == null) {
      attempt.firstTokenAt = context.now();
      attempt.timeout = settings.tokenTimeout().plus(settings.watchdogGrace());
      firstTokenTimeouts.record(attempt, context.now());
      requests.scheduleCheck(active, attempt.timeoutAt());
    }
    attempt.tokens += event.tokens();
    delivery.append(active, attempt, event, context);
    if (requests.heldBytes() > settings.maxHeldBytes()) {
      reduceHeldBytes(active, context);
    }
  }

  /**
   * Enforces the limit on held bytes: drops the sampled text of a direct stream, else fails the
   * request.
   */
  private void reduceHeldBytes(ActiveRequest active, EventContext context) {
    if (active.streamsDirectly()) {
      active.sampled = false;
      requests.dropText(active);
      return;
    }
    String message = "This entry holds as many answer bytes as it can. Send it again later.";
    RunState state = active.runState();
    deliverBestOrFail(
        active,
        new RoutingError(ErrorKind.NO_CAPACITY, message, state, RETRY_AFTER_MILLIS),
        context);
  }

  /** Cancels an attempt whose answer is unusable, and continues on another upstream. */
  void abortAttempt(ActiveRequest active, Attempt attempt, String detail, EventContext context) {
    attempts.cancel(active, attempt, false, context);
    crashGuard.attemptLost(active, attempt, AttemptStage.ANSWER_BEGUN, context);
    attemptFailed(active, attempt, AttemptStage.ANSWER_BEGUN, detail, context);
  }

  /** Handles the final frame of the running attempt. */
  void draftFinished(
      ActiveRequest active,
      Attempt attempt,
      UpstreamEvent.DraftFinished event,
      EventContext context) {
    long tokens = active.answer.tokens();
    // If the engine counted more tokens than arrived, the end of the answer was lost in transit.
    // Without this check the caller would get a truncated answer that looks complete.
    if (event.usage().completionTokens() > tokens) {
      context.count("answers_with_gap", "");
      abortAttempt(active, attempt, "the end of the answer is missing", context);
      return;
    }
    attempts.end(active, attempt, true, context);
    active.ran = true;
    active.finishedVersions.add(Objects.requireNonNull(attempt.version));
    AttemptOutcome outcome =
        AttemptOutcomes.of(
            active,
            attempt,
            tokens == 0 ? AttemptOutcome.Ending.EMPTY : AttemptOutcome.Ending.WHOLE,
            context.now());
    collaborators.quality().record(outcome, context.now());
    HeldAnswer answer = wholeAnswer(active, attempt, event);
    completer.charge(active, answer.version(), answer.usage());
    if (active.holdsAnswerForRating()) {
      escalationPolicy.hold(active, answer, outcome, context);
      proceed(active, context);
      return;
    }
    crashGuard.requestServed(active, context);
    delivery.requestSampleRating(active, answer, outcome, context);
    delivery.deliver(active, answer, context);
  }

  private static HeldAnswer wholeAnswer(
      ActiveRequest active, Attempt attempt, UpstreamEvent.DraftFinished event) {
    Usage counted = event.usage();
    int promptTokens =
        counted.promptTokens() > 0 ? counted.promptTokens() : active.request.promptTokens();
    Usage usage = new Usage(promptTokens, (int) active.answer.tokens(), counted.cachedTokens());
    return new HeldAnswer(
        attempt.id,
        Objects.requireNonNull(attempt.version),
        attempt.upstream,
        active.answer.text(),
        event.finishReason(),
        usage,
        0);
  }

  /** Applies the rating of a held answer, or null if none arrives in time. */
  void ratingReceived(
      ActiveRequest active, String attemptId, @Nullable Double score, EventContext context) {
    if (escalationPolicy.onRating(active, attemptId, score, context)) {
      proceed(active, context);
    }
  }

  /** Delivers an accepted held answer or runs the next step; waits while a rating is pending. */
  private void proceed(ActiveRequest active, EventContext context) {
    HeldAnswer held = active.heldAnswer;
    if (active.phase == ActiveRequest.Phase.RATING) {
      return;
    }
    if (held != null) {
      crashGuard.requestServed(active, context);
      delivery.deliver(active, held, context);
      return;
    }
    dispatch(active, context);
  }

  /** Resumes or retries a draft after a failed attempt, backs off, or ends the draft. */
  void attemptFailed(
      ActiveRequest active,
      Attempt attempt,
      AttemptStage stage,
      String detail,
      EventContext context) {
    if (RunStates.after(stage) != RunState.NOT_RUN) {
      active.mayHaveStarted = true;
    }
    AttemptOutcome.Ending endingKind = AttemptOutcomes.ending(stage);
    if (endingKind != null) {
      collaborators
          .quality()
          .record(AttemptOutcomes.of(active, attempt, endingKind, context.now()), context.now());
    }
    boolean resuming = active.answer.tokens() > 0;
    if (!resuming && retryPolicy.backOffIfBudgetEmpty(active, stage, context.now())) {
      return;
    }
    RoutingError error = retryPolicy.retryRefusal(active, stage, resuming, detail);
    if (error != null) {
      deliverBestOrFail(active, error, context);
      return;
    }
    if (resuming) {
      context.timeline("attempt.resumed", active, attempt, "after " + active.answer.tokens());
      context.count("resumes", "");
    }
    dispatch(active, context);
  }

  /** Ends a draft that can't be finished: with the best held answer, or else with the error. */
  void deliverBestOrFail(ActiveRequest active, RoutingError error, EventContext context) {
    HeldAnswer best = active.bestAnswer;
    if (best != null && !active.streamStarted) {
      active.notice = "the rating of this answer is below the target; a better one failed";
      delivery.deliver(active, best, context);
      return;
    }
    completer.fail(active, error, context);
  }

  /** Delivers a held answer at the deadline, and returns whether one could be delivered. */
  boolean deliverBestAtDeadline(ActiveRequest active, EventContext context) {
    HeldAnswer best = active.heldAnswer != null ? active.heldAnswer : active.bestAnswer;
    if (best == null || active.streamStarted || active.phase == ActiveRequest.Phase.BILL) {
      return false;
    }
    active.notice = "the deadline came before a rating or a better answer";
    delivery.deliver(active, best, context);
    return true;
  }
}
