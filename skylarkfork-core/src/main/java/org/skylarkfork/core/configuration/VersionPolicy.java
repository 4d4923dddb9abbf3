package org.skylarkfork.core.configuration;

/**
 * What happens with a version that the evidence shows to be bad.
 *
 * @param withdrawAutomatically whether it is withdrawn, or only gets no new sessions
 * @param falseAlarmRate bound for the chance that a good version is ever suspected, 0 to 1
 * @param tolerance how much worse than its predecessor a version may be, 0 to 1
 */
public record VersionPolicy(
    boolean withdrawAutomatically, double falseAlarmRate, double tolerance) {

  /** Suspects get no new sessions; one false alarm in a hundred versions; five points tolerated. */
  public static final VersionPolicy DEFAULT = new VersionPolicy(false, 0.01, 0.05);
}
