package org.skylarkfork.core.quality;

import java.time.Duration;

/**
 * Settings for the storage, the exchange and the test of evidence on versions.
 *
 * @param epoch time over which counts are summed
 * @param windowEpochs number of epochs that the test for bad versions covers
 * @param openEpochs number of epochs for which counts of other entries are still accepted
 * @param halfLife age at which a rating counts half in estimates
 * @param priorStrength weight of the operators' prior, as a number of ratings
 * @param peersPerRound number of peers that are sent new counters each second
 * @param countersPerMessage maximum number of counters in one message
 * @param minReferenceRatings minimum number of ratings of the predecessor or the baseline for a
 *     comparison
 * @param minSuspectTime minimum time for which a version stays suspect
 */
public record QualitySettings(
    Duration epoch,
    int windowEpochs,
    int openEpochs,
    Duration halfLife,
    double priorStrength,
    int peersPerRound,
    int countersPerMessage,
    int minReferenceRatings,
    Duration minSuspectTime) {

  /** Settings for 7 to 9 entries. */
  public static final QualitySettings DEFAULT =
      new QualitySettings(
          Duration.ofSeconds(5),
          360,
          12,
          Duration.ofMinutes(10),
          4,
          4,
          8,
          100,
          Duration.ofMinutes(10));

  /** Returns the number of the epoch at a time in milliseconds. */
  long epochAt(long millis) {
    return Math.floorDiv(millis, epoch.toMillis());
  }

  /** Returns the half-life in epochs. */
  double halfLifeEpochs() {
    return (double) halfLife.toMillis() / epoch.toMillis();
  }
}
