package org.skylarkfork.core.rollout;

/**
 * Attempts at a version that one entry has sent, whether or not they were answered.
 *
 * @param sent number of attempts sent since the later one of the start of the entry and the start
 *     of the service's newest roll-out
 * @param open number of attempts that have not ended, some of which may have been sent before
 * @param unanswered number of attempts among these without a first byte that have waited for longer
 *     than the service's other versions usually take
 * @param waitedMillis sum of the times since these were sent, in milliseconds
 * @param abandoned number of attempts that ended without a first byte at their request's deadline
 *     or when the caller left, since the same time as those sent
 * @param abandonedMillis sum of the times from their sending to their end, in milliseconds
 */
public record AttemptCounts(
    long sent,
    long open,
    long unanswered,
    long waitedMillis,
    long abandoned,
    long abandonedMillis) {

  /** No attempts, and what entries of older versions report. */
  public static final AttemptCounts NONE = new AttemptCounts(0, 0, 0, 0, 0, 0);

  /** Returns the attempts of two entries together. */
  public AttemptCounts plus(AttemptCounts other) {
    return new AttemptCounts(
        sent + other.sent,
        open + other.open,
        unanswered + other.unanswered,
        waitedMillis + other.waitedMillis,
        abandoned + other.abandoned,
        abandonedMillis + other.abandonedMillis);
  }
}
