package org.skylarkfork.core.attempt;

/**
 * Limits retries or hedges to a share of the requests of this entry, plus a reserve.
 *
 * <p>Without a limit, each request of a burst that meets failing upstreams would be sent several
 * times, which multiplies the load during an overload. The reserve allows extra attempts while
 * there are few requests.
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

  /** Adds the share that one request contributes, up to the capacity. */
  void deposit() {
    balance = Math.min(capacity, balance + share);
  }

  boolean isEmpty() {
    return balance < 1;
  }

  /** Withdraws one attempt if the balance allows it, and returns whether it did. */
  boolean tryWithdraw() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }

  /** Withdraws one attempt that is made in any case; the balance doesn't go below 0. */
  void withdraw() {
    balance = Math.max(0, balance - 1);
  }
}
