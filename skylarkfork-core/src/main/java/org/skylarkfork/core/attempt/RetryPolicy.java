package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.time.Instant;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.request.RunState;

/** Decides whether a request is retried after a failed attempt, and after which backoff. */
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

  /** Adds the share of one request to the retry budget. */
  void recordRequest() {
    budget.deposit();
  }

  /**
   * Returns the error if a request must not be retried, or null if it may be retried.
   *
   * <p>A resume is always allowed while attempts are left: it was admitted before, and the rest of
   * an answer is less work than a whole answer, so it can't multiply a burst. It still withdraws
   * from the retry budget.
   *
   * @param active the request
   * @param stage how far the failed attempt had progressed
   * @param resuming whether only the rest of an answer is requested
   * @param detail description of the failure
   */
  @Nullable RoutingError retryRefusal(
      ActiveRequest active, AttemptStage stage, boolean resuming, String detail) {
    if (active.stepAttempts >= settings.maxAttempts()) {
      return failure(active, detail + "; all attempts are used up");
    }
    if (resuming) {
      budget.withdraw();
      return null;
    }
    if (RunStates.reachedUpstream(stage) && !budget.tryWithdraw()) {
      return failure(active, detail + "; the retry budget is used up");
    }
    return null;
  }

  /**
   * Backs off if a full upstream refused to start a request and the retry budget is empty.
   *
   * <p>Otherwise a few upstreams that refuse everything would exhaust the budget, and requests
   * would be refused although other upstreams have capacity. A backoff needs no budget: it can't
   * multiply a burst, since its duration doubles each time and attempts stay limited.
   *
   * @return whether the request backs off
   */
  boolean backOffIfBudgetEmpty(ActiveRequest active, AttemptStage stage, Instant now) {
    return stage == AttemptStage.REFUSED_NOT_STARTED
        && budget.isEmpty()
        && active.stepAttempts < settings.maxAttempts()
        && backOff(active, now);
  }

  /** Returns the error of a request that is not retried after a failure. */
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

  /** Returns the error of a request that no upstream started. */
  RoutingError noCapacity(String detail) {
    return RoutingError.notRunRetry(
        ErrorKind.NO_CAPACITY,
        "No upstream could take the request: " + detail + ". Send it again later.",
        RETRY_AFTER_MILLIS);
  }

  /**
   * Backs off until an upstream may be free again.
   *
   * <p>A request backs off only if it has no other upstream left, or if a full upstream refused it
   * and the retry budget is empty. The duration doubles each time and has random jitter, so that
   * requests that failed together are not retried together.
   *
   * @return whether the request backs off; false if the maximum number of backoffs is reached or
   *     the backoff would not end before the deadline
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
