package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;

/** Starts the next attempt of a request, or ends the request if there can be none. */
final class AttemptStarter {

  /**
   * When to come back where every upstream of a service is in an evacuated zone, in milliseconds.
   * Nobody knows when operators take a zone back; entries hear of it within half a second.
   */
  private static final long EVACUATED_RETRY_MILLIS = 1000;

  /** When to come back at the latest where upstreams take little, in milliseconds. */
  private static final long LONGEST_RETRY_MILLIS = 10_000;

  private final AttemptSender sender;
  private final RequestCompleter endings;
  private final RetryBudget budget;

  AttemptStarter(AttemptSender sender, RequestCompleter endings, RetryBudget budget) {
    this.sender = sender;
    this.endings = endings;
    this.budget = budget;
  }

  /** Starts the first attempt of a request. */
  void first(ActiveRelay relay, Instant now, Output output) {
    budget.requested(relay.service.name(), now);
    next(relay, now, output);
  }

  /** Goes on with a request whose scheduler has answered, or kept silent. */
  void placed(SchedulerClient.SchedulerDecision placed, Instant now, Output output) {
    ActiveRelay relay = placed.relay();
    Placement chosen = placed.placement();
    Placement placement = chosen == null ? sender.place(relay, now) : chosen;
    send(relay, placement, placed.grant(), now, output);
  }

  /** Starts an attempt that is allowed. */
  void next(ActiveRelay relay, Instant now, Output output) {
    if (sender.isQuarantined(relay)) {
      quarantined(relay, now, output);
      return;
    }
    boolean inTime = leftMillis(relay, now) > 0;
    if (inTime && sender.askScheduler(relay, now, output)) {
      return;
    }
    send(relay, inTime ? sender.place(relay, now) : null, null, now, output);
  }

  /** Sends an attempt if that is not in vain; else ends the request and gives the place back. */
  private void send(
      ActiveRelay relay,
      @Nullable Placement placement,
      @Nullable SchedulerGrant grant,
      Instant now,
      Output output) {
    if (sender.isQuarantined(relay)) {
      sender.giveBack(grant, output);
      quarantined(relay, now, output);
    } else if (placement == null || leftMillis(relay, now) <= 0) {
      sender.giveBack(grant, output);
      untakenOrLate(relay, now, output);
    } else if (isInVain(relay, placement, now)) {
      sender.giveBack(grant, output);
      long drained = (long) placement.waitMillis();
      endings.giveUp(relay, Refusal.OVERLOADED, drained, now, output);
    } else {
      sender.send(relay, placement, grant, now, output);
    }
  }

  /**
   * Returns whether a request would wait at its upstream until its caller is gone.
   *
   * <p>Sent nevertheless, it would take the upstream's time from requests that can be answered, and
   * its caller would learn nothing until its deadline.
   */
  private static boolean isInVain(ActiveRelay relay, Placement placement, Instant now) {
    return relay.attempt == 0 && placement.waitMillis() > leftMillis(relay, now);
  }

  /**
   * Ends a request that became known to end upstreams while it was worked on.
   *
   * <p>Looked at on arrival only, a request that was let in a moment before would still end an
   * upstream with each attempt that is left to it, and those that its answer's model asks for.
   */
  private void quarantined(ActiveRelay relay, Instant now, Output output) {
    if (relay.forwarding) {
      endings.breakOff(relay, now, output);
    } else {
      endings.giveUp(relay, Refusal.QUARANTINED, now, output);
    }
  }

  private void untakenOrLate(ActiveRelay relay, Instant now, Output output) {
    if (leftMillis(relay, now) <= 0) {
      Refusal late = relay.mayHaveRun ? Refusal.TIME_OUT : Refusal.TOO_LATE;
      endings.giveUp(relay, late, now, output);
    } else if (relay.forwarding) {
      endings.breakOff(relay, now, output);
    } else if (relay.mayHaveRun) {
      endings.giveUp(relay, Refusal.OUTCOME_UNKNOWN, now, output);
    } else if (sender.isEvacuated(relay)) {
      endings.giveUp(relay, Refusal.NO_UPSTREAM, EVACUATED_RETRY_MILLIS, now, output);
    } else {
      limitedOrNone(relay, now, output);
    }
  }

  private void limitedOrNone(ActiveRelay relay, Instant now, Output output) {
    long waitMillis = sender.untilTaken(relay, now).toMillis();
    if (waitMillis > 0) {
      long retryMillis = Math.min(waitMillis, LONGEST_RETRY_MILLIS);
      endings.giveUp(relay, Refusal.NO_UPSTREAM, retryMillis, now, output);
    } else {
      endings.giveUp(relay, Refusal.NO_UPSTREAM, now, output);
    }
  }

  /** Starts one more attempt if the route and the budget allow it, else ends the request. */
  void again(ActiveRelay relay, Instant now, Output output) {
    boolean safe = !relay.mayHaveRun || relay.route.retryable();
    if (sender.isQuarantined(relay)) {
      quarantined(relay, now, output);
    } else if (safe && mayRepeat(relay, now)) {
      next(relay, now, output);
    } else if (relay.forwarding) {
      endings.breakOff(relay, now, output);
    } else {
      endings.giveUp(relay, untaken(relay), now, output);
    }
  }

  /** Decides whether one more attempt is allowed, and counts it if so. */
  boolean mayRepeat(ActiveRelay relay, Instant now) {
    return !sender.isQuarantined(relay)
        && relay.sent < relay.route.maxAttempts()
        && now.isBefore(relay.deadline)
        && budget.repeat(relay.service.name(), now);
  }

  private static Refusal untaken(ActiveRelay relay) {
    return relay.mayHaveRun ? Refusal.OUTCOME_UNKNOWN : Refusal.NO_UPSTREAM;
  }

  private static long leftMillis(ActiveRelay relay, Instant now) {
    return Duration.between(now, relay.deadline).toMillis();
  }
}
