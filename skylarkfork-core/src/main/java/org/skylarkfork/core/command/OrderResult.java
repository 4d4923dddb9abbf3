package org.skylarkfork.core.command;

/** Results of order commands. */
public sealed interface OrderResult extends CommandResult {

  /**
   * The requester holds the lease.
   *
   * @param fencingNumber number of the lease, higher than that of every earlier holder
   * @param unsafeMillis time for which orders of earlier holders may still be in transit, counted
   *     from now on the requester's own clock, in milliseconds
   */
  record LeaseGranted(long fencingNumber, long unsafeMillis) implements OrderResult {}

  /**
   * Another holder has the lease.
   *
   * @param holder the current holder
   */
  record LeaseHeld(String holder) implements OrderResult {}

  /**
   * The command was submitted under a lease that has ended; nothing was changed.
   *
   * @param newestNumber newest fencing number
   */
  record StaleLease(long newestNumber) implements OrderResult {}

  /**
   * An order would fetch weights faster than the weight store allows; nothing was changed.
   *
   * @param waitMillis time to wait before the next request, in milliseconds
   */
  record OverBudget(long waitMillis) implements OrderResult {}
}
