package org.skylarkfork.core.routing;

import java.time.Duration;

/**
 * How the main chooser weighs upstreams.
 *
 * @param sampleSize how many upstreams are compared for one pick
 * @param crossZoneFactor factor by which an upstream in another zone looks busier, at least 1
 * @param prefixBonus load per capacity by which an upstream that may hold the prefix looks less
 *     busy
 * @param maxPrefixLoad load per capacity from which a held prefix no longer counts
 * @param saturationLoad load per capacity from which an upstream is full
 * @param reportHalfLife age at which a load report is half forgotten
 * @param ejectionThreshold failures in a row after which an upstream is taken out
 * @param baseEjectionTime time for which it is out at first; doubled with each failed probe
 * @param maxEjectionTime bound for that time
 */
public record ChooserSettings(
    int sampleSize,
    double crossZoneFactor,
    double prefixBonus,
    double maxPrefixLoad,
    double saturationLoad,
    Duration reportHalfLife,
    int ejectionThreshold,
    Duration baseEjectionTime,
    Duration maxEjectionTime) {

  /** Settings for reports about each second and zones less than a millisecond apart. */
  public static final ChooserSettings DEFAULT =
      new ChooserSettings(
          2,
          1.15,
          0.3,
          0.7,
          8,
          Duration.ofSeconds(2),
          3,
          Duration.ofSeconds(1),
          Duration.ofSeconds(30));
}
