package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.RelayEffect;

/** Ends requests, with an answer of the entry's own where no upstream gave one. */
final class RequestCompleter {

  /** When to come back where nothing could take the request, in milliseconds. */
  private static final long RETRY_MILLIS = 250;

  /** When to come back, to another entry, in milliseconds. */
  private static final long STOPPING_RETRY_MILLIS = 10;

  /** When to come back to an entry that can't serve, in milliseconds. */
  private static final long NOT_SERVING_RETRY_MILLIS = 700;

  private final ActiveRelays active;
  private final AttemptSender sender;
  private final AnswerTimes answerTimes;
  private final RequestTrace trace;

  RequestCompleter(
      ActiveRelays active, AttemptSender sender, AnswerTimes answerTimes, RequestTrace trace) {
    this.active = active;
    this.sender = sender;
    this.answerTimes = answerTimes;
    this.trace = trace;
  }

  /** Refuses a request that was not taken. */
  void refuse(RelayRequest request, Refusal refusal, Instant now, Output output) {
    output.effect(new RelayEffect.Refuse(request.number(), refusal, retryAfter(refusal)));
    trace.refused(request, refusal, now, output);
  }

  /** Ends a request of whose answer the caller has got nothing. */
  void giveUp(ActiveRelay relay, Refusal refusal, Instant now, Output output) {
    giveUp(relay, refusal, retryAfter(refusal), now, output);
  }

  /**
   * Ends a request of whose answer the caller has got nothing.
   *
   * @param relay the request
   * @param refusal why
   * @param retryAfterMillis when to come back, in milliseconds; 0 to say nothing
   * @param now the present time
   * @param output takes what is to be done
   */
  void giveUp(
      ActiveRelay relay, Refusal refusal, long retryAfterMillis, Instant now, Output output) {
    sender.drop(relay, output);
    active.remove(relay);
    output.effect(new RelayEffect.Refuse(relay.request.number(), refusal, retryAfterMillis));
    trace.ended(
        "refused",
        relay,
        "why="
            + refusal
            + " attempts="
            + relay.sent
            + " may_have_run="
            + relay.mayHaveRun
            + " retry_after_ms="
            + retryAfterMillis,
        now,
        output);
  }

  /** Ends a request whose answer was begun and goes on nowhere. */
  void breakOff(ActiveRelay relay, Instant now, Output output) {
    noteAnswer(relay, false, now);
    sender.drop(relay, output);
    active.remove(relay);
    output.effect(new RelayEffect.BreakOff(relay.request.number()));
    String facts = "attempts=" + relay.sent + " after_event=" + relay.lastEventId;
    trace.ended("broken_off", relay, facts, now, output);
  }

  /** Ends a request whose answer was passed on whole. */
  void done(ActiveRelay relay, Instant now, Output output) {
    noteAnswer(relay, true, now);
    sender.release(relay, output);
    active.remove(relay);
    output.effect(new RelayEffect.Forget(relay.request.number()));
    String facts =
        "attempts=" + relay.sent + " model=" + relay.model + " confidence=" + relay.confidence;
    trace.ended("done", relay, facts, now, output);
  }

  /** Ends a request whose caller is gone. */
  void callerLeft(ActiveRelay relay, Instant now, Output output) {
    noteAnswer(relay, false, now);
    sender.drop(relay, output);
    active.remove(relay);
    output.effect(new RelayEffect.Forget(relay.request.number()));
    trace.ended("caller_left", relay, "attempts=" + relay.sent, now, output);
  }

  private void noteAnswer(ActiveRelay relay, boolean whole, Instant now) {
    if (relay.forwarding && relay.streams()) {
      answerTimes.recordEnd(relay, Duration.between(relay.answeredAt, now).toMillis(), whole);
    }
  }

  private static long retryAfter(Refusal refusal) {
    return switch (refusal) {
      case NOT_SERVING -> NOT_SERVING_RETRY_MILLIS;
      case NO_UPSTREAM, OVERLOADED -> RETRY_MILLIS;
      case STOPPING -> STOPPING_RETRY_MILLIS;
      case UNKNOWN_KEY, NO_ROUTE, QUARANTINED, TOO_LATE, OUTCOME_UNKNOWN, TIME_OUT -> 0;
    };
  }
}
