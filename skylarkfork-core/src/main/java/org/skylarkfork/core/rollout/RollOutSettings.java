package org.skylarkfork.core.rollout;

import java.time.Duration;

/**
 * Settings of roll-outs.
 *
 * @param canaryShare share of new requests without a session that a new version gets from the order
 *     on
 * @param sessionsAfter share of the roll-out's time after which sessions may change their version
 * @param drain time in which requests on the old version finish; longer than most streams
 * @param exposure number of requests that a version may get before it has proved good
 */
public record RollOutSettings(
    double canaryShare, double sessionsAfter, Duration drain, ExposureLimit exposure) {

  /**
   * Default settings: a twentieth of new requests without a session until 0.51 of the time has
   * passed, which is 0.03 of all requests in that time at most, and no more than 0.09 of all
   * requests and 30 further ones before the version has proved good.
   */
  public static final RollOutSettings DEFAULT =
      new RollOutSettings(0.05, 0.51, Duration.ofMillis(5000), new ExposureLimit(0.09, 30));

  long sessionsAfterMillis(long deadlineMillis) {
    return (long) (deadlineMillis * sessionsAfter);
  }
}
