package org.skylarkfork.core.quality;

import java.time.Duration;

/**
 * How evidence on versions is kept, shared and judged.
 *
 * @param epoch time over which counts are summed
 * @param windowEpochs how many epochs the test for bad versions looks back
 * @param openEpochs for how many epochs counts of other entries are still taken in
 * @param halfLife age at which a rating counts half in estimates
 * @param priorStrength how many ratings the operators' prior is worth
 * @param peersPerRound how many peers are told the news each second
 * @param countersPerMessage bound for the counters in one message
 * @param minReferenceRatings ratings that a comparison needs of the predecessor or the past
 * @param minSuspectTime least time for which a version stays suspect
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
