package org.skylarkfork.core.attempt;

import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.request.Usage;

/**
 * A whole answer that has not been given to the caller yet.
 *
 * @param attemptId id of the attempt that gave it
 * @param version version that gave it
 * @param upstream id of its upstream
 * @param text its text
 * @param finishReason why it ended
 * @param usage its tokens
 * @param score its rating, or 0 while there is none
 */
record HeldAnswer(
    String attemptId,
    ModelVersion version,
    String upstream,
    String text,
    String finishReason,
    Usage usage,
    double score) {

  HeldAnswer withScore(double rating) {
    return new HeldAnswer(attemptId, version, upstream, text, finishReason, usage, rating);
  }
}
