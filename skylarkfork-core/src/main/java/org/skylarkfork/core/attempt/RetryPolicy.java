package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.time.Instant;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.UpstreamEvent.Moment;
import org.skylarkfork.core.request.RunState;

/** Decides whether a request whose attempt failed is tried again, and after which pause. */
final class RetryPolicy {

  private static final long RETRY_AFTER_MILLIS = 1000;

  private final ActiveRequests requests;
  private final RequestSettings settings;
  private final AttemptBudget budget;
  private final UniformRandomProvider random;

  RetryPolicy(ActiveRequests requests, RequestSettings settings, UniformRandomProvider random) {
    this.requests = requests;
    this.settings = settings;
    this.budget = new AttemptBudget(settings.retryShare(), settings.retryReserve());
    this.random = random;
  }

  /** Takes note of a new request, which earns its share of a retry. */
  void recordRequest() {
    budget.deposit();
  }

  /**
   * Returns why a request isn't tried again, or null if it is.
   *
   * <p>A resume always goes on while attempts are left: it was admitted before, and the rest of an
   * answer is less work than the whole, so it can't multiply a burst. It is charged all the same.
   *
   * @param active the request
   * @param moment how far the failed attempt had got
   * @param resuming whether only the rest of an answer is asked for
   * @param detail what the upstream said
   */
  @Nullable RoutingError retryRefusal(
      ActiveRequest active, Moment moment, boolean resuming, String detail) {
    if (active.stepAttempts >= settings.maxAttempts()) {
      return failure(active, detail + "; all attempts are used up");
    }
    if (resuming) {
      budget.withdraw();
      return null;
    }
    if (RunStates.reachedUpstream(moment) && !budget.tryWithdraw()) {
      return failure(active, detail + "; the retry budget is used up");
    }
    return null;
  }

  /**
   * Lets a request that a full upstream did not start wait while the budget is used up.
   *
   * <p>A part of the upstreams that refuses everything would otherwise use up the budget, and
   * requests would be refused for which the others have room. A pause needs no budget: it can't
   * multiply a burst, since each is twice as long as the one before and attempts stay bounded.
   *
   * @return whether it waits
   */
  boolean backOffIfBudgetEmpty(ActiveRequest active, Moment moment, Instant now) {
    return moment == Moment.REFUSED_NOT_STARTED
        && budget.isEmpty()
        && active.stepAttempts < settings.maxAttempts()
        && backOff(active, now);
  }

  /** Makes the refusal of a request that is given up after a failure. */
  RoutingError failure(ActiveRequest active, String detail) {
    boolean notStarted = active.runState() == RunState.NOT_RUN;
    if (notStarted) {
      return noCapacity(detail);
    }
    if (active.idempotent) {
      String message = "The upstream failed: " + detail + ". Send the request again.";
      return new RoutingError(
          ErrorKind.UPSTREAM_FAILED, message, active.runState(), RETRY_AFTER_MILLIS);
    }
    String message =
        "The upstream failed after the call was sent: "
            + detail
            + ". It may have run: don't send it again, but look at the service for its effect.";
    return new RoutingError(ErrorKind.UPSTREAM_FAILED, message, active.runState(), null);
  }

  /** Makes the refusal of a request that no upstream started. */
  RoutingError noCapacity(String detail) {
    return RoutingError.notRunRetry(
        ErrorKind.NO_CAPACITY,
        "No upstream could take the request: " + detail + ". Send it again later.",
        RETRY_AFTER_MILLIS);
  }

  /**
   * Lets a request wait until one of its upstreams may be free again.
   *
   * <p>Only a request that has no other upstream left waits; the pause doubles each time and is
   * spread at random so that those that failed together don't come back together.
   *
   * @return whether it waits; false if it waited often enough or its deadline comes first
   */
  boolean backOff(ActiveRequest active, Instant now) {
    if (active.backoffs >= settings.maxBackoffs()) {
      return false;
    }
    long maxMillis = settings.firstBackoff().toMillis() << active.backoffs;
    Instant end = now.plus(Duration.ofMillis(maxMillis / 2 + random.nextLong(maxMillis / 2 + 1)));
    if (!end.isBefore(active.request.deadline())) {
      return false;
    }
    active.backoffs++;
    active.triedUpstreams.clear();
    active.phase = ActiveRequest.Phase.PAUSE;
    active.phaseEnd = end;
    requests.scheduleCheck(active, end);
    return true;
  }
}
