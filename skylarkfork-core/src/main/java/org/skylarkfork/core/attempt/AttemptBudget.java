package org.skylarkfork.core.attempt;

/**
 * Bounds extra attempts to a share of the requests, over the whole entry.
 *
 * <p>Without it each request of a burst that meets failing upstreams would be sent several times:
 * the load multiplies just when there is too much of it. Here the extra attempts are at most the
 * share of the requests, plus a reserve for quiet times.
 */
final class AttemptBudget {

  private final double share;
  private final double most;
  private double left;

  AttemptBudget(double share, int reserve) {
    this.share = share;
    this.most = reserve;
    this.left = reserve;
  }

  /** Takes note of a request, which earns its share of an extra attempt. */
  void earn() {
    left = Math.min(most, left + share);
  }

  boolean isEmpty() {
    return left < 1;
  }

  /** Takes an extra attempt if there is one left. */
  boolean tryTake() {
    if (left < 1) {
      return false;
    }
    left -= 1;
    return true;
  }

  /** Takes an extra attempt that has to be made, so that fewer others can be. */
  void take() {
    left = Math.max(0, left - 1);
  }
}
