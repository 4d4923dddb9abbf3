package org.skylarkfork.core.rollout;

/**
 * A decision to move a roll-out on to another phase.
 *
 * @param phase the phase that begins
 * @param reason why
 * @param baseline results of the version that is replaced, with which the new one is compared
 */
public record RollOutDecision(RollOutPhase phase, Reason reason, VersionTotals baseline) {

  /** Reason of a decision. */
  public enum Reason {
    /** The time of the canary phase is over. */
    CANARY_ENDED,
    /** The new version fails more often or is slower than the old one. */
    WORSE,
    /** The new version proved as good as the old one under all requests. */
    AS_GOOD,
    /** The new version answers without failures, and the old one didn't answer at all. */
    OLD_VERSION_SILENT,
    /** By the deadline too little was known for a comparison. */
    NOT_COMPARED
  }
}
