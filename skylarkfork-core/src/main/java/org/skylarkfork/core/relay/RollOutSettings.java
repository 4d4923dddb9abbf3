package org.skylarkfork.core.relay;

import java.time.Duration;

/**
 * How roll-outs go on.
 *
 * @param canaryShare share of new work that a version gets until it has proved itself
 * @param moveShare share of the roll-out's time after which all new work moves
 * @param drain time that work on the old version gets to end; longer than most streams
 */
public record RollOutSettings(double canaryShare, double moveShare, Duration drain) {

  /**
   * Usual settings: a twentieth of new work until 0.55 of the time is over, which is 0.03 of all
   * requests of that time. The rest of the allowed exposure is left for the time between the move
   * and the discovery of a version that turns bad under its full load.
   */
  public static final RollOutSettings DEFAULT =
      new RollOutSettings(0.05, 0.55, Duration.ofMillis(5000));

  long moveAfterMillis(long deadlineMillis) {
    return (long) (deadlineMillis * moveShare);
  }
}
