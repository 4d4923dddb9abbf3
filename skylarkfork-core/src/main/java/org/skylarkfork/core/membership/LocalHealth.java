package org.skylarkfork.core.membership;

import java.time.Duration;

/**
 * Local health score of a daemon, as in Lifeguard; it lengthens the timeouts of the daemon's
 * probes.
 *
 * <p>A daemon that is slow itself, starved of processor time or isolated, receives no timely
 * answers from any other daemon. With fixed timeouts it would declare healthy daemons dead. Each
 * sign of a local fault therefore lengthens the timeouts, and each timely answer shortens them.
 */
final class LocalHealth {

  private static final int MAX_SCORE = 8;

  private int score;

  /** Increases the score, up to the maximum; 0 is the best score. */
  void degrade(int by) {
    score = Math.min(MAX_SCORE, score + by);
  }

  void improve() {
    score = Math.max(0, score - 1);
  }

  int score() {
    return score;
  }

  Duration scale(Duration normal) {
    return normal.multipliedBy(score + 1L);
  }
}
