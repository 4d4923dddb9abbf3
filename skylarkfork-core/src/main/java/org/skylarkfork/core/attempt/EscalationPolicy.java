package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.quality.VersionQuality;
import org.skylarkfork.core.routing.Plan;

/** Decides whether the held answer of a rated step is accepted or the next step runs. */
final class EscalationPolicy {

  /** Shortest time before the deadline in which a further step is still started. */
  private static final Duration MIN_STEP_TIME = Duration.ofMillis(500);

  private final ActiveRequests requests;
  private final VersionQuality quality;
  private final RequestSettings settings;

  EscalationPolicy(ActiveRequests requests, VersionQuality quality, RequestSettings settings) {
    this.requests = requests;
    this.quality = quality;
    this.settings = settings;
  }

  /** Holds the complete answer of a rated step and requests its rating, or escalates if empty. */
  void hold(ActiveRequest active, HeldAnswer answer, AttemptOutcome outcome, EventContext context) {
    active.heldAnswer = answer;
    active.heldOutcome = outcome;
    if (answer.text().isEmpty()) {
      escalate(active, answer, "the answer is empty", context);
      return;
    }
    Duration timeout = ratingTimeout(active, context.now());
    active.phase = ActiveRequest.Phase.RATING;
    active.phaseEnd = context.now().plus(timeout);
    requests.scheduleCheck(active, active.phaseEnd);
    context.effect(
        new UpstreamEffect.RequestRating(
            active.id(),
            answer.attemptId(),
            answer.version(),
            active.request.prompt(),
            answer.text(),
            Math.max(1, timeout.toMillis())));
  }

  private Duration ratingTimeout(ActiveRequest active, Instant now) {
    Duration half = Duration.between(now, active.request.deadline()).dividedBy(2);
    return half.compareTo(settings.ratingTimeout()) < 0 ? half : settings.ratingTimeout();
  }

  /**
   * Applies the rating of the held answer.
   *
   * @param score the rating, or null if none arrives in time
   * @return whether the answer was decided on: afterwards {@code heldAnswer} is the accepted
   *     answer, or null if the next step must run; false if this rating isn't awaited
   */
  boolean onRating(
      ActiveRequest active, String attemptId, @Nullable Double score, EventContext context) {
    HeldAnswer held = active.heldAnswer;
    boolean awaited =
        active.phase == ActiveRequest.Phase.RATING
            && held != null
            && held.attemptId().equals(attemptId);
    if (!awaited) {
      return false;
    }
    active.phase = ActiveRequest.Phase.ATTEMPTS;
    if (score == null) {
      decideWithoutRating(active, held, context);
      return true;
    }
    AttemptOutcome outcome = Objects.requireNonNull(active.heldOutcome);
    quality.record(AttemptOutcomes.ratedLater(outcome, score), context.now());
    if (score < Objects.requireNonNull(active.plan).qualityTarget()) {
      escalate(active, held.withScore(score), "rated " + score, context);
    }
    return true;
  }

  /**
   * Decides without a rating: the next step runs unless the version's estimate reaches the quality
   * target or too little time is left.
   */
  private void decideWithoutRating(ActiveRequest active, HeldAnswer held, EventContext context) {
    context.count("ratings_missing", held.version().toString());
    Plan plan = Objects.requireNonNull(active.plan);
    double probability =
        quality
            .estimate(
                held.version(), active.team, active.request.promptTokens(), plan.qualityTarget())
            .mean();
    Instant latest = active.request.deadline().minus(MIN_STEP_TIME);
    boolean inTime = context.now().isBefore(latest);
    if (inTime && probability < plan.qualityTarget()) {
      escalate(active, held.withScore(probability), "no rating, chance " + probability, context);
    }
  }

  private void escalate(
      ActiveRequest active, HeldAnswer answer, String reason, EventContext context) {
    HeldAnswer best = active.bestAnswer;
    if (!answer.text().isEmpty() && (best == null || answer.score() >= best.score())) {
      active.bestAnswer = answer;
    }
    active.heldAnswer = null;
    active.heldOutcome = null;
    active.phase = ActiveRequest.Phase.ATTEMPTS;
    active.step++;
    active.stepAttempts = 0;
    active.backoffs = 0;
    active.triedUpstreams.clear();
    requests.clearAnswer(active);
    requests.scheduleCheck(active, active.effectiveDeadline());
    context.timeline("request.escalated", active, null, reason);
    context.count("escalations", answer.version().toString());
  }
}
