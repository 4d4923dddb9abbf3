package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.answer.ReceivedAnswer;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.returning.ReturnSchedules;

/** Ends requests, with a refusal by the entry if no upstream answered. */
final class RequestCompleter {

  /** Retry delay if no upstream accepted the request, in milliseconds. */
  private static final long RETRY_MILLIS = 250;

  /**
   * Retry delay if this entry is shutting down, in milliseconds; the retry goes to another entry.
   */
  private static final long STOPPING_RETRY_MILLIS = 10;

  /** Retry delay if this entry is not ready to serve, in milliseconds. */
  private static final long NOT_SERVING_RETRY_MILLIS = 700;

  /** Key of the retry times of callers whose service isn't known. */
  private static final String NO_SERVICE = "";

  private final ActiveRelays active;
  private final AttemptSender sender;
  private final AnswerTimes answerTimes;
  private final ReturnSchedules returns;
  private final RequestTrace trace;

  RequestCompleter(
      ActiveRelays active,
      AttemptSender sender,
      AnswerTimes answerTimes,
      ReturnSchedules returns,
      RequestTrace trace) {
    this.active = active;
    this.sender = sender;
    this.answerTimes = answerTimes;
    this.returns = returns;
    this.trace = trace;
  }

  /**
   * Refuses a request that was not admitted.
   *
   * @param request the request
   * @param refusal the reason
   * @param rank priority of the request, 0 being the highest
   * @param remainingMillis time that the caller has left, in milliseconds
   * @param now the current time
   * @param output receives the resulting effects
   */
  void refuse(
      RelayRequest request,
      Refusal refusal,
      int rank,
      long remainingMillis,
      Instant now,
      Output output) {
    long waitMillis = expectedWait(refusal);
    long retryAfterMillis =
        refusal == Refusal.NOT_SERVING
            ? returns.delayMillis(NO_SERVICE, waitMillis, rank, remainingMillis, now)
            : waitMillis;
    output.effect(new RelayEffect.Refuse(request.number(), refusal, retryAfterMillis));
    trace.returnTime(refusal, retryAfterMillis, output);
    trace.refused(request, refusal, retryAfterMillis, now, output);
  }

  /** Refuses an admitted request for which no part of an answer was forwarded. */
  void endWithRefusal(ActiveRelay relay, Refusal refusal, Instant now, Output output) {
    endWithRefusal(relay, refusal, expectedWait(refusal), now, output);
  }

  /**
   * Refuses an admitted request for which no part of an answer was forwarded.
   *
   * @param relay the request
   * @param refusal the reason
   * @param expectedWaitMillis time until the request could be served, in milliseconds, from which
   *     the caller's retry delay follows; 0 to tell the caller none
   * @param now the current time
   * @param output receives the resulting effects
   */
  void endWithRefusal(
      ActiveRelay relay, Refusal refusal, long expectedWaitMillis, Instant now, Output output) {
    long retryAfterMillis =
        returns.delayMillis(
            relay.service.name(),
            expectedWaitMillis,
            rank(relay.team, relay.route),
            Duration.between(now, relay.deadline).toMillis(),
            now);
    endWithRetryTime(relay, refusal, retryAfterMillis, now, output);
  }

  /**
   * Refuses an admitted request for which no part of an answer was forwarded, with a retry time
   * that was chosen for this caller.
   *
   * @param relay the request
   * @param refusal the reason
   * @param retryAfterMillis delay to tell the caller, in milliseconds; 0 to tell it none
   * @param now the current time
   * @param output receives the resulting effects
   */
  void endWithRetryTime(
      ActiveRelay relay, Refusal refusal, long retryAfterMillis, Instant now, Output output) {
    sender.cancelAttempt(relay, output);
    active.remove(relay);
    output.effect(new RelayEffect.Refuse(relay.request.number(), refusal, retryAfterMillis));
    trace.returnTime(refusal, retryAfterMillis, output);
    trace.ended(
        "refused",
        relay,
        "why="
            + refusal
            + " attempts="
            + relay.sentAttempts
            + " may_have_run="
            + relay.mayHaveRun
            + " backed_off="
            + sender.backedOffUpstreams(relay, now)
            + " retry_after_ms="
            + retryAfterMillis
            + (refusal == Refusal.QUARANTINED ? trace.quarantineFacts(relay) : ""),
        now,
        output);
  }

  /** Ends a request whose answer has begun and can't be continued by any upstream. */
  void abortAnswer(ActiveRelay relay, Instant now, Output output) {
    recordAnswerTime(relay, false, now);
    recordFreedCapacity(relay, now);
    sender.cancelAttempt(relay, output);
    active.remove(relay);
    output.effect(new RelayEffect.BreakOff(relay.request.number()));
    String facts = "attempts=" + relay.sentAttempts + " after_event=" + relay.lastEventId;
    trace.ended("broken_off", relay, facts, now, output);
  }

  /** Ends a request whose answer was forwarded completely. */
  void complete(ActiveRelay relay, ReceivedAnswer answer, Instant now, Output output) {
    recordAnswerTime(relay, true, now);
    recordFreedCapacity(relay, now);
    sender.releaseAttempt(relay, output);
    active.remove(relay);
    output.effect(new RelayEffect.Forget(relay.request.number()));
    String facts =
        "attempts="
            + relay.sentAttempts
            + " model="
            + relay.modelIndex
            + " confidence="
            + relay.confidence
            + " "
            + answer.facts()
            + " "
            + answer.use().facts();
    trace.answerEnded(answer, output);
    trace.ended("done", relay, facts, now, output);
  }

  /** Ends a request whose caller has disconnected. */
  void callerLeft(ActiveRelay relay, Instant now, Output output) {
    recordAnswerTime(relay, false, now);
    recordFreedCapacity(relay, now);
    sender.cancelAttempt(relay, output);
    active.remove(relay);
    output.effect(new RelayEffect.Forget(relay.request.number()));
    trace.ended("caller_left", relay, "attempts=" + relay.sentAttempts, now, output);
  }

  private void recordAnswerTime(ActiveRelay relay, boolean whole, Instant now) {
    if (relay.forwarding && relay.streams()) {
      answerTimes.recordEnd(relay, Duration.between(relay.answeredAt, now).toMillis(), whole);
    }
  }

  private void recordFreedCapacity(ActiveRelay relay, Instant now) {
    if (relay.placement != null) {
      returns.recordEnd(relay.service.name(), now);
    }
  }

  /** Returns whether callers that are refused together receive different retry times. */
  boolean spreadsReturns() {
    return returns.spread();
  }

  /** Returns the priority of a request: that of its team or, without one, of its route. */
  static int rank(@Nullable RelayTeam team, RelayRoute route) {
    Integer teamPriority = team == null ? null : team.priority();
    return teamPriority == null ? route.priority() : teamPriority;
  }

  /** Returns the time until a refused request could be served, in milliseconds; 0 if unknown. */
  private static long expectedWait(Refusal refusal) {
    return switch (refusal) {
      case NOT_SERVING -> NOT_SERVING_RETRY_MILLIS;
      case NO_UPSTREAM, OVERLOADED -> RETRY_MILLIS;
      case STOPPING -> STOPPING_RETRY_MILLIS;
      case UNKNOWN_KEY, NO_ROUTE, QUARANTINED, TOO_LATE, OUTCOME_UNKNOWN, TIME_OUT -> 0;
    };
  }
}
