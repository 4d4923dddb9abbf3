package org.skylarkfork.core.quality;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;

/**
 * What came of one attempt at a draft.
 *
 * @param requestId request that it belongs to
 * @param version model and version that ran
 * @param team name of the team
 * @param promptTokens length of the prompt in tokens
 * @param ending how it ended
 * @param rating rating of the answer, 0 to 1, or null if there is none yet
 * @param firstTokenMillis time to the first token in milliseconds, or null if none came
 * @param completionTokens tokens generated
 * @param totalMillis time to the end of the attempt in milliseconds, or null if it was told before
 * @param escalated whether an earlier step of its plan fell short, so that it met a hard request
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

  /** Makes an outcome of a first step whose time to the end is not known. */
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
    /** With its final frame and some text. */
    WHOLE,
    /** With its final frame and no text. */
    EMPTY,
    /** Without its final frame. */
    CUT,
    /** With an error in place of an answer. */
    ERROR,
    /** A rating of an attempt whose end was told before. */
    RATED_LATER
  }
}
