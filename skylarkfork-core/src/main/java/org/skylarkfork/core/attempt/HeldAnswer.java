package org.skylarkfork.core.attempt;

import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.request.Usage;

/**
 * A complete answer that has not been delivered to the caller yet.
 *
 * @param attemptId id of the attempt that produced the answer
 * @param version version that produced the answer
 * @param upstream id of the upstream of the attempt
 * @param text text of the answer
 * @param finishReason reason for the end, as the engine reported it
 * @param usage token counts
 * @param score rating of the answer, or 0 while there is none
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
