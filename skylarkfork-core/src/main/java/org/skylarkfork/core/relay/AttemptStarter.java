package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.waiting.SlotDecision;

/** Starts the next attempt of a request, or ends the request if no further attempt is possible. */
final class AttemptStarter {

  /**
   * Retry delay if every upstream of a service is in an evacuated zone, in milliseconds. The time
   * at which operators restore a zone is unknown; entries learn of it within half a second.
   */
  private static final long EVACUATED_RETRY_MILLIS = 1000;

  /**
   * Maximum retry delay if the upstreams are rate limited and retry times aren't spread, in
   * milliseconds. A spread time is limited by the time that the caller has left instead.
   */
  private static final long MAX_RETRY_MILLIS = 10_000;

  private final AttemptSender sender;
  private final RequestCompleter completer;
  private final RetryBudget budget;

  AttemptStarter(AttemptSender sender, RequestCompleter completer, RetryBudget budget) {
    this.sender = sender;
    this.completer = completer;
    this.budget = budget;
  }

  /** Starts the first attempt of a request. */
  void startFirst(ActiveRelay relay, Instant now, Output output) {
    budget.recordRequest(relay.service.name(), now);
    startNext(relay, now, output);
  }

  /** Continues a request whose placement query was answered or timed out. */
  void onPlacement(SchedulerClient.SchedulerDecision placed, Instant now, Output output) {
    ActiveRelay relay = placed.relay();
    Placement chosen = placed.placement();
    Placement placement = chosen == null ? sender.place(relay, now) : chosen;
    send(relay, placement, placed.grant(), now, output);
  }

  /** Continues a request whose ask for a slot was decided or timed out. */
  void onSlotDecision(ActiveRelay relay, SlotDecision decision, Instant now, Output output) {
    if (decision.action() == SlotDecision.Action.REFUSE) {
      Refusal refusal = relay.mayHaveRun ? Refusal.OUTCOME_UNKNOWN : Refusal.OVERLOADED;
      long retryAfterMillis = relay.mayHaveRun ? 0 : decision.retryAfterMillis();
      completer.endWithRetryTime(relay, refusal, retryAfterMillis, now, output);
      return;
    }
    Placement granted =
        decision.action() == SlotDecision.Action.USE_SLOT
            ? sender.placeInSlot(relay, decision.upstream(), now, output)
            : null;
    send(relay, granted == null ? sender.place(relay, now) : granted, null, now, output);
  }

  /** Starts an attempt without checking the retry budget. */
  void startNext(ActiveRelay relay, Instant now, Output output) {
    if (sender.isQuarantined(relay)) {
      endQuarantined(relay, now, output);
      return;
    }
    boolean inTime = remainingMillis(relay, now) > 0;
    if (inTime
        && (sender.queryScheduler(relay, now, output) || sender.askForSlot(relay, now, output))) {
      return;
    }
    send(relay, inTime ? sender.place(relay, now) : null, null, now, output);
  }

  /** Sends an attempt if it can meet the deadline; else releases the grant and ends the request. */
  private void send(
      ActiveRelay relay,
      @Nullable Placement placement,
      @Nullable SchedulerGrant grant,
      Instant now,
      Output output) {
    if (sender.isQuarantined(relay)) {
      sender.releaseGrant(grant, output);
      endQuarantined(relay, now, output);
    } else if (placement == null || remainingMillis(relay, now) <= 0) {
      sender.releaseGrant(grant, output);
      endUnplaced(relay, now, output);
    } else if (wouldMissDeadline(relay, placement, now)) {
      sender.releaseGrant(grant, output);
      long waitMillis = (long) placement.waitMillis();
      completer.endWithRefusal(relay, Refusal.OVERLOADED, waitMillis, now, output);
    } else {
      sender.send(relay, placement, grant, now, output);
    }
  }

  /**
   * Returns whether the request would wait at its upstream beyond its deadline.
   *
   * <p>If it were sent, it would use upstream time that other requests need, and its caller would
   * get no answer before the deadline.
   */
  private static boolean wouldMissDeadline(ActiveRelay relay, Placement placement, Instant now) {
    return relay.attempt == 0 && placement.waitMillis() > remainingMillis(relay, now);
  }

  /**
   * Ends a request that was quarantined while it was in progress.
   *
   * <p>If the quarantine were checked on arrival only, a request admitted shortly before would
   * crash another upstream with each remaining attempt, including escalations to a larger model.
   */
  private void endQuarantined(ActiveRelay relay, Instant now, Output output) {
    if (relay.forwarding) {
      completer.abortAnswer(relay, now, output);
    } else {
      completer.endWithRefusal(relay, Refusal.QUARANTINED, now, output);
    }
  }

  private void endUnplaced(ActiveRelay relay, Instant now, Output output) {
    if (remainingMillis(relay, now) <= 0) {
      Refusal refusal = relay.mayHaveRun ? Refusal.TIME_OUT : Refusal.TOO_LATE;
      completer.endWithRefusal(relay, refusal, now, output);
    } else if (relay.forwarding) {
      completer.abortAnswer(relay, now, output);
    } else if (relay.mayHaveRun) {
      completer.endWithRefusal(relay, Refusal.OUTCOME_UNKNOWN, now, output);
    } else if (sender.isEvacuated(relay)) {
      completer.endWithRefusal(relay, Refusal.NO_UPSTREAM, EVACUATED_RETRY_MILLIS, now, output);
    } else {
      endWithoutUpstream(relay, now, output);
    }
  }

  private void endWithoutUpstream(ActiveRelay relay, Instant now, Output output) {
    long waitMillis = sender.retryDelay(relay, now).toMillis();
    if (waitMillis > 0) {
      long expectedMillis =
          completer.spreadsReturns() ? waitMillis : Math.min(waitMillis, MAX_RETRY_MILLIS);
      completer.endWithRefusal(relay, Refusal.NO_UPSTREAM, expectedMillis, now, output);
    } else {
      completer.endWithRefusal(relay, Refusal.NO_UPSTREAM, now, output);
    }
  }

  /** Starts another attempt if the route and the retry budget allow it, else ends the request. */
  void retryOrEnd(ActiveRelay relay, Instant now, Output output) {
    boolean retrySafe = (!relay.mayHaveRun || relay.route.retryable()) && relay.isContinuable();
    if (sender.isQuarantined(relay)) {
      endQuarantined(relay, now, output);
    } else if (retrySafe && acquireRetry(relay, now)) {
      startNext(relay, now, output);
    } else if (relay.forwarding) {
      completer.abortAnswer(relay, now, output);
    } else {
      completer.endWithRefusal(relay, failureRefusal(relay), now, output);
    }
  }

  /** Returns whether another attempt is allowed, and if so charges it to the retry budget. */
  boolean acquireRetry(ActiveRelay relay, Instant now) {
    return !sender.isQuarantined(relay)
        && relay.sentAttempts < relay.route.maxAttempts()
        && now.isBefore(relay.deadline)
        && budget.tryAcquire(relay.service.name(), now);
  }

  private static Refusal failureRefusal(ActiveRelay relay) {
    return relay.mayHaveRun ? Refusal.OUTCOME_UNKNOWN : Refusal.NO_UPSTREAM;
  }

  private static long remainingMillis(ActiveRelay relay, Instant now) {
    return Duration.between(now, relay.deadline).toMillis();
  }
}
