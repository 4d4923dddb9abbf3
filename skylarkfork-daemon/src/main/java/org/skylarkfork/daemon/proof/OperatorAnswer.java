package org.skylarkfork.daemon.proof;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * What an operator knows of one send of a change.
 *
 * @param changeId the operator's id for the change
 * @param expected revision that the operator expected, or null for any
 * @param outcome what came back
 * @param revision revision that the change made, or 0 if it was not accepted
 * @param at when the answer came
 * @param detail answer in words
 */
public record OperatorAnswer(
    String changeId,
    @Nullable Long expected,
    Outcome outcome,
    long revision,
    Instant at,
    String detail) {

  /** What came of a send. */
  public enum Outcome {
    /** The change is accepted. */
    ACCEPTED,
    /** Another revision is present. */
    CONFLICT,
    /** The change was refused and certainly not accepted by this send. */
    REFUSED,
    /** Nobody told what came of it. */
    LOST
  }
}
