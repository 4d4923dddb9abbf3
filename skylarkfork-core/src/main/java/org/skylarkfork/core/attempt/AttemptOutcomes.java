package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.quality.AttemptOutcome.Ending;

/** Converts attempts of drafts to the outcomes that the quality estimates are based on. */
final class AttemptOutcomes {

  private AttemptOutcomes() {}

  static AttemptOutcome of(ActiveRequest active, Attempt attempt, Ending ending, Instant now) {
    // A resumed attempt produced only part of the answer, so its duration isn't comparable.
    boolean resumed = attempt.resumeOffset > 0;
    Long totalMillis = resumed ? null : Duration.between(attempt.dispatchedAt, now).toMillis();
    return new AttemptOutcome(
        active.id(),
        Objects.requireNonNull(attempt.version),
        active.team,
        active.request.promptTokens(),
        ending,
        null,
        attempt.firstTokenMillis(),
        (int) active.answer.tokens(),
        totalMillis,
        active.step > 0);
  }

  static AttemptOutcome ratedLater(AttemptOutcome outcome, double score) {
    return new AttemptOutcome(
        outcome.requestId(),
        outcome.version(),
        outcome.team(),
        outcome.promptTokens(),
        Ending.RATED_LATER,
        score,
        outcome.firstTokenMillis(),
        outcome.completionTokens(),
        null,
        outcome.escalated());
  }

  /** Returns the ending to record for the version, or null if the failure is due to the VM. */
  static @Nullable Ending ending(AttemptStage stage) {
    return switch (stage) {
      case ANSWER_BEGUN -> Ending.CUT;
      case REFUSED_STARTED -> Ending.ERROR;
      case BEFORE_CONNECT, CONNECTED, PARTLY_WRITTEN, WRITTEN, REFUSED_NOT_STARTED -> null;
    };
  }
}
