package org.skylarkfork.core.configuration;

/**
 * The policy for versions whose ratings show that they are bad.
 *
 * @param withdrawAutomatically whether a bad version is withdrawn; otherwise it only receives no
 *     new sessions
 * @param falseAlarmRate upper bound of the probability that a good version is ever suspected, 0 to
 *     1
 * @param tolerance tolerated decrease in quality of a version compared with its predecessor, 0 to 1
 */
public record VersionPolicy(
    boolean withdrawAutomatically, double falseAlarmRate, double tolerance) {

  /**
   * Suspected versions receive no new sessions; one false alarm in a hundred versions and a
   * decrease of five percentage points are tolerated.
   */
  public static final VersionPolicy DEFAULT = new VersionPolicy(false, 0.01, 0.05);
}
