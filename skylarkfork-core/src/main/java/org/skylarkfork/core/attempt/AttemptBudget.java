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
  private final double capacity;
  private double balance;

  AttemptBudget(double share, int reserve) {
    this.share = share;
    this.capacity = reserve;
    this.balance = reserve;
  }

  /** Takes note of a request, which earns its share of an extra attempt. */
  void deposit() {
    balance = Math.min(capacity, balance + share);
  }

  boolean isEmpty() {
    return balance < 1;
  }

  /** Takes an extra attempt if there is one left. */
  boolean tryWithdraw() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }

  /** Takes an extra attempt that has to be made, so that fewer others can be. */
  void withdraw() {
    balance = Math.max(0, balance - 1);
  }
}
