package org.skylarkfork.core.attempt;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.quality.VersionQuality;

/** Requests ratings for a share of the delivered answers, to keep quality estimates current. */
final class RatingSampler {

  private static final int MAX_PENDING_RATINGS = 1000;

  private final double share;
  private final long waitMillis;
  private final VersionQuality quality;
  private final UniformRandomProvider random;
  private final Map<String, AttemptOutcome> pendingRatings = new LinkedHashMap<>();

  RatingSampler(RequestSettings settings, VersionQuality quality, UniformRandomProvider random) {
    this.share = settings.sampledRatingShare();
    this.waitMillis = settings.ratingTimeout().toMillis();
    this.quality = quality;
    this.random = random;
  }

  /** Decides at random whether to rate an answer; more often while the quality is uncertain. */
  boolean draw(ModelVersion version) {
    return random.nextDouble() < quality.ratingShare(version, share);
  }

  /** Requests a rating, unless the answer is empty or too many ratings are pending. */
  void requestRating(
      ActiveRequest active, HeldAnswer answer, AttemptOutcome outcome, EventContext context) {
    if (pendingRatings.size() >= MAX_PENDING_RATINGS || answer.text().isEmpty()) {
      return;
    }
    pendingRatings.put(answer.attemptId(), outcome);
    context.effect(
        new UpstreamEffect.RequestRating(
            active.id(),
            answer.attemptId(),
            answer.version(),
            active.request.prompt(),
            answer.text(),
            waitMillis));
  }

  /** Records the rating of a delivered answer; ignores ratings that were not requested. */
  void ratingReceived(String attemptId, @Nullable Double score, EventContext context) {
    AttemptOutcome outcome = pendingRatings.remove(attemptId);
    if (outcome != null && score != null) {
      quality.record(AttemptOutcomes.ratedLater(outcome, score), context.now());
    }
  }
}
