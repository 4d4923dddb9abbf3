package org.skylarkfork.core.rollout;

import java.time.Duration;

/**
 * Settings of roll-outs.
 *
 * @param canaryShare share of new requests that a new version gets in the canary phase
 * @param moveShare share of the roll-out's time after which all new requests go to the new version
 * @param drain time in which requests on the old version finish; longer than most streams
 */
public record RollOutSettings(double canaryShare, double moveShare, Duration drain) {

  /**
   * Default settings: a twentieth of new requests until 0.55 of the time has passed, which is 0.03
   * of all requests in that time. The rest of the allowed exposure is reserved for the time between
   * the move and the detection of a version that turns bad under full load.
   */
  public static final RollOutSettings DEFAULT =
      new RollOutSettings(0.05, 0.55, Duration.ofMillis(5000));

  long moveAfterMillis(long deadlineMillis) {
    return (long) (deadlineMillis * moveShare);
  }
}
