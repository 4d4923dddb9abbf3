package org.skylarkfork.core.routing;

import java.time.Duration;

/**
 * Settings of the {@link PowerOfTwoChooser}.
 *
 * <p>Loads are numbers of requests divided by the capacity of the upstream.
 *
 * @param sampleSize number of upstreams that are compared for one choice
 * @param crossZoneFactor factor on the expected delay of an upstream in another zone, at least 1
 * @param prefixBonus load subtracted from the expected delay of an upstream that may have the
 *     request's prompt prefix in its cache
 * @param maxPrefixLoad load at or above which a cached prefix is ignored
 * @param saturationLoad load at or above which an upstream receives no more requests
 * @param reportHalfLife age at which the weight of a load report has fallen to one half
 * @param ejectionThreshold number of consecutive failures after which an upstream is ejected
 * @param baseEjectionTime duration of the first ejection; doubled with each failed probe
 * @param maxEjectionTime upper bound of the duration of an ejection
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

  /**
   * Settings for load reports at intervals of about one second and a latency between zones of less
   * than a millisecond.
   */
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
