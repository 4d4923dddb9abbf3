package org.skylarkfork.core.consensus;

import java.time.Duration;
import java.time.Instant;

/**
 * Time for which this daemon has been running, without the gaps in which it handled no events.
 *
 * <p>A process that was not scheduled, or whose event loop was busy, handles its next tick late,
 * while answers that arrived in the meantime still wait to be read. Timeouts for the silence of
 * others and of the disk are measured in active time, so that such a gap does not count as their
 * silence. Leases and election timeouts are not: they bound what other daemons may do in that gap.
 */
final class ActiveTime {

  private final Duration maxStep;
  private Instant lastTick = Instant.EPOCH;
  private Duration gap = Duration.ZERO;
  private Duration elapsed = Duration.ZERO;

  /**
   * Creates the clock.
   *
   * @param maxStep maximum time that a tick adds, well above the tick interval
   */
  ActiveTime(Duration maxStep) {
    this.maxStep = maxStep;
  }

  /** Records a tick. */
  void tick(Instant now) {
    if (!lastTick.equals(Instant.EPOCH)) {
      gap = Duration.between(lastTick, now);
      elapsed = elapsed.plus(isLate() ? maxStep : gap);
    }
    lastTick = now;
  }

  /** Returns the active time up to the last tick, zero before the second tick. */
  Duration elapsed() {
    return elapsed;
  }

  /** Returns the time between the last two ticks, zero before the second tick. */
  Duration gap() {
    return gap;
  }

  /** Returns whether the last tick came so late that a part of the time before it is left out. */
  boolean isLate() {
    return gap.compareTo(maxStep) > 0;
  }
}
