package org.skylarkfork.core.membership;

import java.time.Duration;

/**
 * How far a daemon trusts its own probes.
 *
 * <p>A daemon that is slow itself, starved of processor time or cut off, sees all others silent.
 * Were its timeouts fixed, it would declare healthy daemons dead. So each sign that the fault is
 * here lengthens the timeouts, and each answer in time shortens them.
 */
final class LocalHealth {

  private static final int MAX_SCORE = 8;

  private int score;

  /** Adds to the score; 0 is the best. */
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
