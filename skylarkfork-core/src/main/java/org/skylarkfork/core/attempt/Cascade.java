package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.quality.QualityBook;
import org.skylarkfork.core.routing.Plan;

/** Judges held answers of rated steps: good enough, or the next step's turn. */
final class Cascade {

  /** Shortest time to the deadline in which a further step is worth starting. */
  private static final Duration SHORTEST_STEP = Duration.ofMillis(500);

  private final ActiveRequests requests;
  private final QualityBook quality;
  private final RequestSettings settings;

  Cascade(ActiveRequests requests, QualityBook quality, RequestSettings settings) {
    this.requests = requests;
    this.quality = quality;
    this.settings = settings;
  }

  /** Holds a whole answer of a rated step and asks for its rating; an empty one needs none. */
  void hold(ActiveRequest active, HeldAnswer answer, AttemptOutcome outcome, EventContext turn) {
    active.held = answer;
    active.heldOutcome = outcome;
    if (answer.text().isEmpty()) {
      escalate(active, answer, "the answer is empty", turn);
      return;
    }
    Duration wait = ratingWait(active, turn.now());
    active.phase = ActiveRequest.Phase.RATING;
    active.phaseEnd = turn.now().plus(wait);
    requests.wakeBy(active, active.phaseEnd);
    turn.effect(
        new UpstreamEffect.RequestRating(
            active.id(),
            answer.attemptId(),
            answer.version(),
            active.request.prompt(),
            answer.text(),
            Math.max(1, wait.toMillis())));
  }

  private Duration ratingWait(ActiveRequest active, Instant now) {
    Duration half = Duration.between(now, active.request.deadline()).dividedBy(2);
    return half.compareTo(settings.ratingWait()) < 0 ? half : settings.ratingWait();
  }

  /**
   * Takes the rating of the held answer.
   *
   * @param score the rating, or null if there will be none in time
   * @return whether the request goes on: {@code held} is the accepted answer, or null if the next
   *     step is to run
   */
  boolean rated(ActiveRequest active, String attemptId, @Nullable Double score, EventContext turn) {
    HeldAnswer held = active.held;
    boolean awaited =
        active.phase == ActiveRequest.Phase.RATING
            && held != null
            && held.attemptId().equals(attemptId);
    if (!awaited) {
      return false;
    }
    active.phase = ActiveRequest.Phase.ATTEMPTS;
    if (score == null) {
      judgeUnrated(active, held, turn);
      return true;
    }
    AttemptOutcome told = Objects.requireNonNull(active.heldOutcome);
    quality.record(AttemptOutcomes.ratedLater(told, score), turn.now());
    if (score < Objects.requireNonNull(active.plan).qualityTarget()) {
      escalate(active, held.withScore(score), "rated " + score, turn);
    }
    return true;
  }

  /**
   * Decides without a rating: the next step runs unless the version's answers are known to reach
   * the target more often than not, or too little time is left for it.
   */
  private void judgeUnrated(ActiveRequest active, HeldAnswer held, EventContext turn) {
    turn.count("ratings_missing", held.version().toString());
    Plan plan = Objects.requireNonNull(active.plan);
    double chance =
        quality
            .estimate(
                held.version(), active.team, active.request.promptTokens(), plan.qualityTarget())
            .mean();
    Instant latest = active.request.deadline().minus(SHORTEST_STEP);
    boolean inTime = turn.now().isBefore(latest);
    if (inTime && chance < plan.qualityTarget()) {
      escalate(active, held.withScore(chance), "no rating, chance " + chance, turn);
    }
  }

  private void escalate(ActiveRequest active, HeldAnswer answer, String why, EventContext turn) {
    HeldAnswer best = active.best;
    if (!answer.text().isEmpty() && (best == null || answer.score() >= best.score())) {
      active.best = answer;
    }
    active.held = null;
    active.heldOutcome = null;
    active.phase = ActiveRequest.Phase.ATTEMPTS;
    active.step++;
    active.stepAttempts = 0;
    active.pauses = 0;
    active.triedUpstreams.clear();
    requests.clearAnswer(active);
    requests.wakeBy(active, active.latestEnd());
    turn.timeline("request.escalated", active, null, why);
    turn.count("escalations", answer.version().toString());
  }
}
