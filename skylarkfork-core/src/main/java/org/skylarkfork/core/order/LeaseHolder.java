package org.skylarkfork.core.order;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.OrderCommand;
import org.skylarkfork.core.command.OrderResult.LeaseGranted;
import org.skylarkfork.core.command.OrderResult.StaleLease;
import org.skylarkfork.core.consensus.Submitter;
import org.skylarkfork.core.effect.TraceEffect;

/** This daemon's hold on the lease for orders. */
final class LeaseHolder {

  private static final Duration PAUSE = Duration.ofSeconds(1);
  private static final long NO_LEASE = 0;
  private static final long NO_SUBMISSION = -1;

  private final OrderSettings settings;
  private final String holder;
  private final OrderMachine machine;
  private final Submitter submitter;
  private final BoundedElapsedTime clock = new BoundedElapsedTime();
  private long number = NO_LEASE;
  private Instant validUntil = Instant.MIN;
  private Duration safeAt = Duration.ZERO;
  private long pending = NO_SUBMISSION;
  private @Nullable Instant sentAt;
  private Instant sendNextAt = Instant.MIN;
  private boolean isReleasing;
  private @Nullable OrderLease seen;
  private Duration seenAt = Duration.ZERO;

  LeaseHolder(OrderSettings settings, String holder, OrderMachine machine, Submitter submitter) {
    this.settings = settings;
    this.holder = holder;
    this.machine = machine;
    this.submitter = submitter;
  }

  /** Looks at the clock, which must happen before anything else at each event. */
  void look(Instant now) {
    if (!clock.look(now)) {
      // Set back, this clock would show the lease as valid after another holder got it, and two
      // would order at once. Only a renewal sent from now on can make it valid again.
      validUntil = Instant.MIN;
      sentAt = null;
      sendNextAt = Instant.MIN;
    }
    OrderLease newest = machine.lease().orElse(null);
    if (newest != null && !newest.equals(seen)) {
      seen = newest;
      seenAt = clock.passed();
    }
    if (seen != null && seen.fencingNumber() > number && number != NO_LEASE) {
      drop();
    }
  }

  /**
   * Acquires, renews or releases.
   *
   * @param isWanted whether there are orders to give
   * @param isIdle whether none of this holder's orders is on its way
   */
  void onTick(boolean isWanted, boolean isIdle, Instant now, Output output) {
    if (pending != NO_SUBMISSION || now.isBefore(sendNextAt)) {
      return;
    }
    if (number == NO_LEASE) {
      if (isWanted && mayBeFree()) {
        submit(
            new OrderCommand.AcquireLease(
                holder, settings.leaseDuration().toMillis(), settings.orderTimeout().toMillis()),
            now,
            output);
      }
    } else if (isWanted || !isIdle) {
      submit(new OrderCommand.RenewLease(number), now, output);
    } else {
      isReleasing = true;
      validUntil = Instant.MIN;
      submit(new OrderCommand.ReleaseLease(number, isPastOldOrders()), now, output);
    }
  }

  private boolean mayBeFree() {
    Duration silence = settings.leaseDuration().plus(PAUSE);
    return seen == null || seen.isReleased() || clock.passed().compareTo(seenAt.plus(silence)) >= 0;
  }

  private void submit(OrderCommand command, Instant now, Output output) {
    pending = submitter.newSubmissionId();
    sentAt = now;
    submitter.submit(
        GroupId.CONFIGURATION, command, pending, now.plus(settings.leaseDuration()), now, output);
  }

  /** Takes the result of a submission and returns whether it was one of these. */
  boolean onAnswered(long submissionId, CommandResult result, Instant now, Output output) {
    if (submissionId != pending) {
      return false;
    }
    pending = NO_SUBMISSION;
    sendNextAt = now.plus(settings.renewalInterval());
    if (result instanceof LeaseGranted granted) {
      hold(granted, output);
    } else if (result instanceof StaleLease) {
      lose("the lease went to another holder", now, output);
    } else if (isReleasing) {
      drop();
    } else if (number != NO_LEASE && result instanceof CommandResult.Done) {
      prolong();
    } else {
      sendNextAt = now.plus(PAUSE);
    }
    return true;
  }

  private void hold(LeaseGranted granted, Output output) {
    number = granted.fencingNumber();
    long unsafeMillis = (long) Math.ceil(granted.unsafeMillis() * (1 + settings.maxClockDrift()));
    safeAt = clock.passed().plusMillis(unsafeMillis);
    prolong();
    output.effect(new TraceEffect.LogLine(false, "order", "holds the lease with number " + number));
  }

  // Counted from when the request was sent: the group counts from a later moment, so the lease ends
  // here first, by the margin even if this clock is the slower one.
  private void prolong() {
    if (sentAt != null) {
      long millis = (long) (settings.leaseDuration().toMillis() * (1 - settings.maxClockDrift()));
      validUntil = sentAt.plusMillis(millis);
    }
  }

  /** Takes the failure of a submission and returns whether it was one of these. */
  boolean onFailed(long submissionId, Instant now) {
    if (submissionId != pending) {
      return false;
    }
    pending = NO_SUBMISSION;
    sendNextAt = now.plus(PAUSE);
    if (isReleasing) {
      drop();
    }
    return true;
  }

  /** Stops using the lease, since somebody else has a newer one. */
  void lose(String why, Instant now, Output output) {
    if (number != NO_LEASE) {
      output.effect(new TraceEffect.LogLine(true, "order", why));
    }
    drop();
    sendNextAt = now.plus(PAUSE);
  }

  private void drop() {
    number = NO_LEASE;
    validUntil = Instant.MIN;
    isReleasing = false;
  }

  /** Returns whether orders may be given, at least to engines that check fencing numbers. */
  boolean isValid(Instant now) {
    return number != NO_LEASE && now.isBefore(validUntil) && hasSeenOwn();
  }

  // The orders of earlier holders are in the log before the grant; until this replica has applied
  // that far, an order could be given again under another id.
  private boolean hasSeenOwn() {
    return seen != null && seen.fencingNumber() == number;
  }

  /** Returns whether no order of an earlier holder can still be on its way. */
  boolean isPastOldOrders() {
    return clock.passed().compareTo(safeAt) >= 0;
  }

  /** Returns the fencing number. */
  long number() {
    return number;
  }

  /** Returns the time that has surely passed, for waits that a clock's jump must not end. */
  Duration passed() {
    return clock.passed();
  }
}
