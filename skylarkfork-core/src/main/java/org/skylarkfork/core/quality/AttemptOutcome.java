package org.skylarkfork.core.quality;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;

/**
 * The outcome of one attempt at a draft.
 *
 * @param requestId id of the request that the attempt belongs to
 * @param version model and version that ran
 * @param team name of the team
 * @param promptTokens length of the prompt in tokens
 * @param ending how the attempt ended
 * @param rating rating of the answer, 0 to 1, or null if there is none yet
 * @param firstTokenMillis time to the first token in milliseconds, or null if none came
 * @param completionTokens tokens generated
 * @param totalMillis time to the end of the attempt in milliseconds, or null if the end was
 *     reported before
 * @param escalated whether an earlier step of the plan missed its quality target, so that the
 *     request is a hard one
 */
public record AttemptOutcome(
    String requestId,
    ModelVersion version,
    String team,
    int promptTokens,
    Ending ending,
    @Nullable Double rating,
    @Nullable Long firstTokenMillis,
    int completionTokens,
    @Nullable Long totalMillis,
    boolean escalated) {

  /** Creates an outcome of a first step whose time to the end is not known. */
  public AttemptOutcome(
      String requestId,
      ModelVersion version,
      String team,
      int promptTokens,
      Ending ending,
      @Nullable Double rating,
      @Nullable Long firstTokenMillis,
      int completionTokens) {
    this(
        requestId,
        version,
        team,
        promptTokens,
        ending,
        rating,
        firstTokenMillis,
        completionTokens,
        null,
        false);
  }

  /** How an attempt ended. */
  public enum Ending {
    /** The answer had a final frame and some text. */
    WHOLE,
    /** The answer had a final frame and no text. */
    EMPTY,
    /** The answer had no final frame. */
    CUT,
    /** An error came in place of an answer. */
    ERROR,
    /** A rating arrived for an attempt whose end was reported before. */
    RATED_LATER
  }
}
