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

/** Acquires, renews and releases this daemon's lease for orders. */
final class LeaseHolder {

  private static final Duration RETRY_BACKOFF = Duration.ofSeconds(1);
  private static final long NO_LEASE = 0;
  private static final long NO_SUBMISSION = -1;

  private final OrderSettings settings;
  private final String holder;
  private final OrderMachine machine;
  private final Submitter submitter;
  private final BoundedElapsedTime clock = new BoundedElapsedTime();
  private long fencingNumber = NO_LEASE;
  private Instant validUntil = Instant.MIN;
  private Duration oldOrdersExpireAt = Duration.ZERO;
  private long pendingSubmission = NO_SUBMISSION;
  private @Nullable Instant submittedAt;
  private Instant nextSubmissionAt = Instant.MIN;
  private boolean isReleasing;
  private @Nullable OrderLease observedLease;
  private Duration observedAt = Duration.ZERO;

  LeaseHolder(OrderSettings settings, String holder, OrderMachine machine, Submitter submitter) {
    this.settings = settings;
    this.holder = holder;
    this.machine = machine;
    this.submitter = submitter;
  }

  /** Updates the elapsed time and the newest lease; must be called first at each event. */
  void update(Instant now) {
    if (!clock.update(now)) {
      // After its clock was set back, this daemon would consider the lease valid after another
      // holder acquired it, and both would send orders. Only a renewal sent from now on can make it
      // valid again.
      validUntil = Instant.MIN;
      submittedAt = null;
      nextSubmissionAt = Instant.MIN;
    }
    OrderLease newest = machine.lease().orElse(null);
    if (newest != null && !newest.equals(observedLease)) {
      observedLease = newest;
      observedAt = clock.elapsed();
    }
    if (observedLease != null
        && observedLease.fencingNumber() > fencingNumber
        && fencingNumber != NO_LEASE) {
      clear();
    }
  }

  /**
   * Acquires, renews or releases.
   *
   * @param isWanted whether there are orders to send
   * @param isIdle whether none of this holder's orders is in flight
   */
  void onTick(boolean isWanted, boolean isIdle, Instant now, Output output) {
    if (pendingSubmission != NO_SUBMISSION || now.isBefore(nextSubmissionAt)) {
      return;
    }
    if (fencingNumber == NO_LEASE) {
      if (isWanted && mayBeAvailable()) {
        submit(
            new OrderCommand.AcquireLease(
                holder, settings.leaseDuration().toMillis(), settings.orderTimeout().toMillis()),
            now,
            output);
      }
    } else if (isWanted || !isIdle) {
      submit(new OrderCommand.RenewLease(fencingNumber), now, output);
    } else {
      isReleasing = true;
      validUntil = Instant.MIN;
      submit(new OrderCommand.ReleaseLease(fencingNumber, areOldOrdersExpired()), now, output);
    }
  }

  private boolean mayBeAvailable() {
    Duration timeout = settings.leaseDuration().plus(RETRY_BACKOFF);
    return observedLease == null
        || observedLease.isReleased()
        || clock.elapsed().compareTo(observedAt.plus(timeout)) >= 0;
  }

  private void submit(OrderCommand command, Instant now, Output output) {
    pendingSubmission = submitter.newSubmissionId();
    submittedAt = now;
    submitter.submit(
        GroupId.CONFIGURATION,
        command,
        pendingSubmission,
        now.plus(settings.leaseDuration()),
        now,
        output);
  }

  /**
   * Handles the result of a submission.
   *
   * @return whether the submission is one of this object's lease commands
   */
  boolean onAnswered(long submissionId, CommandResult result, Instant now, Output output) {
    if (submissionId != pendingSubmission) {
      return false;
    }
    pendingSubmission = NO_SUBMISSION;
    nextSubmissionAt = now.plus(settings.renewalInterval());
    if (result instanceof LeaseGranted granted) {
      onGranted(granted, output);
    } else if (result instanceof StaleLease) {
      relinquish("another holder acquired the lease", now, output);
    } else if (isReleasing) {
      clear();
    } else if (fencingNumber != NO_LEASE && result instanceof CommandResult.Done) {
      extendValidity();
    } else {
      nextSubmissionAt = now.plus(RETRY_BACKOFF);
    }
    return true;
  }

  private void onGranted(LeaseGranted granted, Output output) {
    fencingNumber = granted.fencingNumber();
    long unsafeMillis = (long) Math.ceil(granted.unsafeMillis() * (1 + settings.maxClockDrift()));
    oldOrdersExpireAt = clock.elapsed().plusMillis(unsafeMillis);
    extendValidity();
    output.effect(
        new TraceEffect.LogLine(false, "order", "holds the lease with number " + fencingNumber));
  }

  // The validity starts when the request is sent, and the group starts it later. The lease
  // therefore ends here first, and because of the margin for clock drift even if this clock is
  // slower.
  private void extendValidity() {
    if (submittedAt != null) {
      long millis = (long) (settings.leaseDuration().toMillis() * (1 - settings.maxClockDrift()));
      validUntil = submittedAt.plusMillis(millis);
    }
  }

  /**
   * Handles the failure of a submission.
   *
   * @return whether the submission is one of this object's lease commands
   */
  boolean onFailed(long submissionId, Instant now) {
    if (submissionId != pendingSubmission) {
      return false;
    }
    pendingSubmission = NO_SUBMISSION;
    nextSubmissionAt = now.plus(RETRY_BACKOFF);
    if (isReleasing) {
      clear();
    }
    return true;
  }

  /**
   * Stops using the lease because another holder has a newer one.
   *
   * @param why reason for the log
   */
  void relinquish(String why, Instant now, Output output) {
    if (fencingNumber != NO_LEASE) {
      output.effect(new TraceEffect.LogLine(true, "order", why));
    }
    clear();
    nextSubmissionAt = now.plus(RETRY_BACKOFF);
  }

  private void clear() {
    fencingNumber = NO_LEASE;
    validUntil = Instant.MIN;
    isReleasing = false;
  }

  /** Returns whether orders may be sent, at least to engines that check fencing numbers. */
  boolean isValid(Instant now) {
    return fencingNumber != NO_LEASE && now.isBefore(validUntil) && hasAppliedOwnGrant();
  }

  // The orders of earlier holders precede the grant in the log. Until this replica has applied the
  // log up to the grant, an order could be sent again under another id.
  private boolean hasAppliedOwnGrant() {
    return observedLease != null && observedLease.fencingNumber() == fencingNumber;
  }

  /** Returns whether no order of an earlier holder can still be in flight. */
  boolean areOldOrdersExpired() {
    return clock.elapsed().compareTo(oldOrdersExpireAt) >= 0;
  }

  /** Returns the fencing number, or 0 if this daemon does not hold the lease. */
  long fencingNumber() {
    return fencingNumber;
  }

  /** Returns the bounded elapsed time, for waits that a clock jump must not end. */
  Duration elapsed() {
    return clock.elapsed();
  }
}
