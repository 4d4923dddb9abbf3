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
import org.skylarkfork.core.event.UpstreamEvent.Moment;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.request.Usage;
import org.skylarkfork.core.upstream.Announcement;

/** Runs drafts on engines: plan, attempts, resumed streams and the end of each step. */
final class DraftExecutor {

  private static final int MOST_PLANS = 3;
  private static final long RETRY_AFTER_MILLIS = 1000;

  private final ActiveRequests requests;
  private final RequestCollaborators parts;
  private final RequestSettings settings;
  private final DraftPlanner planning;
  private final Attempts attempts;
  private final RetryPolicy retries;
  private final EscalationPolicy cascade;
  private final DraftDelivery answers;
  private final RequestCompletion ending;
  private final CrashGuard crashes;
  private final FirstTokenTimeouts firstTokens;

  DraftExecutor(
      ActiveRequests requests,
      RequestCollaborators parts,
      RequestSettings settings,
      DraftPlanner planning,
      Attempts attempts,
      RetryPolicy retries,
      EscalationPolicy cascade,
      DraftDelivery answers,
      RequestCompletion ending,
      CrashGuard crashes) {
    this.requests = requests;
    this.parts = parts;
    this.settings = settings;
    this.planning = planning;
    this.attempts = attempts;
    this.retries = retries;
    this.cascade = cascade;
    this.answers = answers;
    this.ending = ending;
    this.crashes = crashes;
    this.firstTokens = new FirstTokenTimeouts(settings);
  }

  static RoutingError teamGone(String team) {
    return RoutingError.notRun(
        ErrorKind.UNAUTHORIZED, "The team " + team + " was removed. Ask your operator.");
  }

  /** Starts an admitted draft. */
  void start(ActiveRequest active, EventContext turn) {
    retries.earn();
    plan(active, turn);
  }

  private void plan(ActiveRequest active, EventContext turn) {
    RoutingError error = planning.plan(active, turn.now());
    if (error != null) {
      boolean mayPass = error.kind() == ErrorKind.NO_CAPACITY && active.bestAnswer == null;
      if (!mayPass || !retries.pause(active, turn.now())) {
        giveUp(active, withRunState(active, error), turn);
      }
      return;
    }
    active.needsPlan = false;
    active.stepAttempts = 0;
    active.triedUpstreams.clear();
    turn.timeline("request.planned", active, null, Objects.requireNonNull(active.plan).reason());
    dispatch(active, turn);
  }

  private static RoutingError withRunState(ActiveRequest active, RoutingError error) {
    return new RoutingError(
        error.kind(), error.message(), active.runState(), error.retryAfterMillis());
  }

  /** Goes on after a pause, with a new plan if there was none before it. */
  void resume(ActiveRequest active, EventContext turn) {
    if (active.needsPlan) {
      plan(active, turn);
    } else {
      dispatch(active, turn);
    }
  }

  /** Dispatches the present step, or lets it wait, or gives it up. */
  void dispatch(ActiveRequest active, EventContext turn) {
    RoutingError refused = crashes.quarantineRefusal(active);
    if (refused != null) {
      giveUp(active, refused, turn);
      return;
    }
    ModelVersion version = active.currentStep().version();
    if (!planning.mayRun(active, version)) {
      versionGone(active, version, turn);
      return;
    }
    List<Announcement> candidates = parts.directory().engines(version, turn.now());
    Optional<Announcement> upstream =
        parts.chooser().choose(candidates, active.request, active.triedUpstreams, turn.now());
    if (upstream.isPresent()) {
      send(active, upstream.get(), version, turn);
    } else if (!retries.pause(active, turn.now())) {
      giveUp(active, retries.failed(active, "all engines of " + version + " are busy"), turn);
    }
  }

  /**
   * Plans anew when a version was withdrawn or forbidden while the request waited. A caller that
   * has part of its answer can't get the rest from another version: its stream ends in an error.
   */
  private void versionGone(ActiveRequest active, ModelVersion version, EventContext turn) {
    active.replans++;
    turn.timeline("request.replanned", active, null, version + " may not run any more");
    if (active.streamStarted || active.replans > MOST_PLANS) {
      String message =
          version + " was withdrawn or forbidden before the answer was whole. Send it again.";
      giveUp(active, new RoutingError(ErrorKind.NOT_ALLOWED, message, active.runState(), 0L), turn);
      return;
    }
    requests.clearAnswer(active);
    active.needsPlan = true;
    plan(active, turn);
  }

  private void send(ActiveRequest active, Announcement upstream, ModelVersion version, EventContext turn) {
    Duration left = Duration.between(turn.now(), active.request.deadline());
    Duration usual = firstTokens.timeout(version);
    Duration first = left.compareTo(usual) < 0 ? left : usual;
    Duration watchdog = first.plus(settings.watchdogGrace());
    if (active.attempts == 0) {
      active.sampled = answers.drawSample(version);
    }
    Attempt attempt = attempts.begin(active, upstream, version, watchdog, turn);
    attempt.resumeOffset = active.answer.tokens();
    active.triedUpstreams.add(upstream.id());
    turn.effect(
        new UpstreamEffect.DispatchDraft(
            attempt.id,
            upstream.id(),
            upstream.host(),
            upstream.port(),
            active.request,
            version,
            active.answer.tokens(),
            active.priority,
            Math.max(1, first.toMillis())));
  }

  /** Takes tokens of the running attempt. */
  void tokens(ActiveRequest active, Attempt attempt, UpstreamEvent.TokensArrived event, EventContext turn) {
    attempt.lastProgressAt = turn.now();
    AnswerBuffer.ChunkPosition fit = active.answer.classify(event.offset(), event.tokens());
    if (fit == AnswerBuffer.ChunkPosition.DUPLICATE) {
      turn.count("tokens_duplicate", "");
      return;
    }
    if (fit == AnswerBuffer.ChunkPosition.GAP) {
      turn.count("answers_with_gap", "");
      cut(active, attempt, "tokens are missing from the answer", turn);
      return;
    }
    if (attempt.firstTokenAt == null) {
      attempt.firstTokenAt = turn.now();
      attempt.timeout = settings.tokenTimeout().plus(settings.watchdogGrace());
      firstTokens.measured(attempt, turn.now());
      requests.scheduleCheck(active, attempt.timeoutAt());
    }
    attempt.tokens += event.tokens();
    answers.append(active, attempt, event, turn);
    if (requests.heldBytes() > settings.maxHeldBytes()) {
      makeRoom(active, turn);
    }
  }

  /**
   * Keeps to the bound on held answers: without the sample if it is one, else without the answer.
   */
  private void makeRoom(ActiveRequest active, EventContext turn) {
    if (active.streamsDirectly()) {
      active.sampled = false;
      requests.dropText(active);
      return;
    }
    String message = "This entry holds as many answer bytes as it can. Send it again later.";
    RunState state = active.runState();
    giveUp(
        active, new RoutingError(ErrorKind.NO_CAPACITY, message, state, RETRY_AFTER_MILLIS), turn);
  }

  /** Gives up an attempt whose answer can't be trusted any more, and goes on elsewhere. */
  void cut(ActiveRequest active, Attempt attempt, String detail, EventContext turn) {
    attempts.cancel(active, attempt, false, turn);
    crashes.attemptLost(active, attempt, Moment.ANSWER_BEGUN, turn);
    failed(active, attempt, Moment.ANSWER_BEGUN, detail, turn);
  }

  /** Takes the final frame of the running attempt. */
  void finished(
      ActiveRequest active, Attempt attempt, UpstreamEvent.DraftFinished event, EventContext turn) {
    long tokens = active.answer.tokens();
    // An engine that counted more tokens than came has an answer whose end was lost on the way: to
    // the caller it would look complete. Its own count shows it.
    if (event.usage().completionTokens() > tokens) {
      turn.count("answers_with_gap", "");
      cut(active, attempt, "the end of the answer is missing", turn);
      return;
    }
    attempts.end(active, attempt, true, turn);
    active.ran = true;
    active.finishedVersions.add(Objects.requireNonNull(attempt.version));
    AttemptOutcome outcome =
        AttemptOutcomes.of(
            active,
            attempt,
            tokens == 0 ? AttemptOutcome.Ending.EMPTY : AttemptOutcome.Ending.WHOLE,
            turn.now());
    parts.quality().record(outcome, turn.now());
    HeldAnswer answer = wholeAnswer(active, attempt, event);
    ending.charge(active, answer.version(), answer.usage());
    if (active.holdsAnswerForRating()) {
      cascade.hold(active, answer, outcome, turn);
      next(active, turn);
      return;
    }
    crashes.requestServed(active, turn);
    answers.sample(active, answer, outcome, turn);
    answers.deliver(active, answer, turn);
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

  /** Takes a rating of a held answer; null if there will be none. */
  void rated(ActiveRequest active, String attemptId, @Nullable Double score, EventContext turn) {
    if (cascade.onRating(active, attemptId, score, turn)) {
      next(active, turn);
    }
  }

  /** Goes on after a held answer was judged: delivers it, or runs the next step. */
  private void next(ActiveRequest active, EventContext turn) {
    HeldAnswer held = active.heldAnswer;
    if (active.phase == ActiveRequest.Phase.RATING) {
      return;
    }
    if (held != null) {
      crashes.requestServed(active, turn);
      answers.deliver(active, held, turn);
      return;
    }
    dispatch(active, turn);
  }

  /** Decides after a failed attempt: resume or repeat elsewhere, a pause, or the end. */
  void failed(ActiveRequest active, Attempt attempt, Moment moment, String detail, EventContext turn) {
    if (RunStates.after(moment) != RunState.NOT_RUN) {
      active.mayHaveStarted = true;
    }
    AttemptOutcome.Ending told = AttemptOutcomes.ending(moment);
    if (told != null) {
      parts.quality().record(AttemptOutcomes.of(active, attempt, told, turn.now()), turn.now());
    }
    boolean resuming = active.answer.tokens() > 0;
    if (!resuming && retries.waits(active, moment, turn.now())) {
      return;
    }
    RoutingError error = retries.refusal(active, moment, resuming, detail);
    if (error != null) {
      giveUp(active, error, turn);
      return;
    }
    if (resuming) {
      turn.timeline("attempt.resumed", active, attempt, "after " + active.answer.tokens());
      turn.count("resumes", "");
    }
    dispatch(active, turn);
  }

  /** Ends a draft that can't be finished: with the best held answer if there is one. */
  void giveUp(ActiveRequest active, RoutingError error, EventContext turn) {
    HeldAnswer best = active.bestAnswer;
    if (best != null && !active.streamStarted) {
      active.notice = "the rating of this answer is below the target; a better one failed";
      answers.deliver(active, best, turn);
      return;
    }
    ending.fail(active, error, turn);
  }

  /** Delivers a held answer at the deadline, and returns whether there was one. */
  boolean deliverBest(ActiveRequest active, EventContext turn) {
    HeldAnswer best = active.heldAnswer != null ? active.heldAnswer : active.bestAnswer;
    if (best == null || active.streamStarted || active.phase == ActiveRequest.Phase.BILL) {
      return false;
    }
    active.notice = "the deadline came before a rating or a better answer";
    answers.deliver(active, best, turn);
    return true;
  }
}
