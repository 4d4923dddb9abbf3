package org.skylarkfork.core.rollout;

/**
 * A decision to move a roll-out on to its next step.
 *
 * @param phase the phase that begins, or the present one if only the share of sessions grows
 * @param reason why
 * @param baseline results of the version that is replaced, with which the new one is compared
 * @param sessionShare share of sessions that take part in the canary phase from now on, in
 *     ten-thousandths; 0 in other phases
 */
public record RollOutDecision(
    RollOutPhase phase, Reason reason, VersionTotals baseline, int sessionShare) {

  /** Creates a decision on the phase. */
  public RollOutDecision(RollOutPhase phase, Reason reason, VersionTotals baseline) {
    this(phase, reason, baseline, 0);
  }

  /** Reason of a decision. */
  public enum Reason {
    /** Sessions may change their version, and some are sent to the new one for a trial. */
    TRIAL_BEGAN,
    /** The new version proved as good as the old one under some of the requests. */
    CANARY_ENDED,
    /** So few requests are left until the deadline that all of them may be exposed. */
    FEW_REQUESTS,
    /** The new version got as many requests as it may without proving good. */
    EXPOSURE_SPENT,
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
