package org.skylarkfork.core.attempt;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.quality.QualityBook;

/** Has a share of the answers rated after they were sent, so that versions stay known. */
final class RatingSampler {

  private static final int MAX_PENDING_RATINGS = 1000;

  private final double share;
  private final long waitMillis;
  private final QualityBook quality;
  private final UniformRandomProvider random;
  private final Map<String, AttemptOutcome> pendingRatings = new LinkedHashMap<>();

  RatingSampler(RequestSettings settings, QualityBook quality, UniformRandomProvider random) {
    this.share = settings.sampledRatingShare();
    this.waitMillis = settings.ratingTimeout().toMillis();
    this.quality = quality;
    this.random = random;
  }

  /** Draws whether an answer is to be rated; more often while it is not clear if it is good. */
  boolean draw(ModelVersion version) {
    return random.nextDouble() < quality.ratingShare(version, share);
  }

  /** Asks for the rating of an answer; beyond a bound the sample is dropped. */
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

  /** Takes a rating that came after the answer was sent; one that wasn't asked for is ignored. */
  void ratingReceived(String attemptId, @Nullable Double score, EventContext context) {
    AttemptOutcome outcome = pendingRatings.remove(attemptId);
    if (outcome != null && score != null) {
      quality.record(AttemptOutcomes.ratedLater(outcome, score), context.now());
    }
  }
}
