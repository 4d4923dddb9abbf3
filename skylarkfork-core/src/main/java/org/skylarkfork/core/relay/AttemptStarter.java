package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.skylarkfork.core.Output;

/** Starts the next attempt of a request, or ends the request if there can be none. */
final class AttemptStarter {

  private final AttemptSender sender;
  private final RequestEndings endings;
  private final RetryBudget budget;

  AttemptStarter(AttemptSender sender, RequestEndings endings, RetryBudget budget) {
    this.sender = sender;
    this.endings = endings;
    this.budget = budget;
  }

  /** Starts the first attempt of a request. */
  void first(ActiveRelay relay, Instant now, Output output) {
    budget.requested(relay.service.name(), now);
    Placement placement = sender.place(relay, now);
    long left = leftMillis(relay, now);
    if (placement != null && left > 0 && placement.waitMillis() > left) {
      // Sent nevertheless, it would take the upstream's time from requests that can be answered,
      // and its caller would learn nothing until its deadline.
      long drained = (long) placement.waitMillis();
      endings.giveUp(relay, Refusal.OVERLOADED, drained, now, output);
    } else {
      next(relay, now, output);
    }
  }

  /** Starts an attempt that is allowed. */
  void next(ActiveRelay relay, Instant now, Output output) {
    if (leftMillis(relay, now) <= 0) {
      Refusal late = relay.mayHaveRun ? Refusal.TIME_OUT : Refusal.TOO_LATE;
      endings.giveUp(relay, late, now, output);
      return;
    }
    Placement placement = sender.place(relay, now);
    if (placement != null) {
      sender.send(relay, placement, now, output);
    } else if (relay.passing) {
      endings.breakOff(relay, now, output);
    } else {
      endings.giveUp(relay, untaken(relay), now, output);
    }
  }

  /** Starts one more attempt if the route and the budget allow it, else ends the request. */
  void again(ActiveRelay relay, Instant now, Output output) {
    boolean safe = !relay.mayHaveRun || relay.route.repeatable();
    if (safe && mayRepeat(relay, now)) {
      next(relay, now, output);
    } else if (relay.passing) {
      endings.breakOff(relay, now, output);
    } else {
      endings.giveUp(relay, untaken(relay), now, output);
    }
  }

  /** Decides whether one more attempt is allowed, and counts it if so. */
  boolean mayRepeat(ActiveRelay relay, Instant now) {
    return relay.sent < relay.route.maxAttempts()
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
