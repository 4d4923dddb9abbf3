package org.skylarkfork.core.command;

/** What an order command gave. */
public sealed interface OrderResult extends CommandResult {

  /**
   * The lease is held by the one who asked.
   *
   * @param fencingNumber its number, higher than that of any other holder before
   * @param unsafeMillis time for which orders of earlier holders may still be on their way, counted
   *     from now on the asker's own clock, in milliseconds
   */
  record LeaseGranted(long fencingNumber, long unsafeMillis) implements OrderResult {}

  /**
   * Another holder has the lease.
   *
   * @param holder who has it
   */
  record LeaseHeld(String holder) implements OrderResult {}

  /**
   * The command was given under a lease that is over; nothing was changed.
   *
   * @param newestNumber newest fencing number
   */
  record StaleLease(long newestNumber) implements OrderResult {}

  /**
   * An order would fetch weights faster than the weight store allows; nothing was changed.
   *
   * @param waitMillis when to ask again, in milliseconds
   */
  record OverBudget(long waitMillis) implements OrderResult {}
}
