package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.crash.CrashWatch;
import org.skylarkfork.core.crash.WatchedUpstream;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.message.RelayMessage.AttemptProgress;

/** Goes on after attempts that failed, were not run, or keep their callers waiting. */
final class AttemptFailureHandler {

  private static final int MISDIRECTED_REQUEST = 421;

  /** Upstreams to which no connection can be made that are tried for one request. */
  private static final int MAX_UNSENT_ATTEMPTS = 4;

  /**
   * Silence, in pauses that are on time, from which on a stream is moved though it will be late.
   */
  private static final double CERTAIN_SILENCE_PAUSES = 1.75;

  private final AttemptSender sender;
  private final AttemptStarter starter;
  private final RequestCompleter completer;
  private final VersionLedger counts;
  private final FirstByteTimeout firstByteTimeout;
  private final CrashWatch crashes;
  private final RequestTrace trace;

  AttemptFailureHandler(
      AttemptSender sender,
      AttemptStarter starter,
      RequestCompleter completer,
      VersionLedger counts,
      FirstByteTimeout firstByteTimeout,
      CrashWatch crashes,
      RequestTrace trace) {
    this.sender = sender;
    this.starter = starter;
    this.completer = completer;
    this.counts = counts;
    this.firstByteTimeout = firstByteTimeout;
    this.crashes = crashes;
    this.trace = trace;
  }

  /** Goes on after an upstream that said that it has not run the request. */
  void onNotRun(
      ActiveRelay relay,
      UpstreamTrack track,
      RelayEvent.AnswerBegan began,
      Instant now,
      Output output) {
    if (began.status() == MISDIRECTED_REQUEST) {
      track.answeredByOther();
    } else {
      sender.recordFailure(relay, AttemptProgress.FAILED, now, output);
    }
    relay.refusingUpstreams.add(track.instance().id());
    trace.attemptEnded("not_run", relay, "status=" + began.status(), now, output);
    sender.cancelAttempt(relay, output);
    starter.retryOrEnd(relay, now, output);
  }

  /**
   * Goes on after an upstream's own failure, if there is another try for the request.
   *
   * @return whether the request went on or ended; if not, the failure is to be passed on
   */
  boolean onServerError(
      ActiveRelay relay,
      UpstreamTrack track,
      RelayEvent.AnswerBegan began,
      Instant now,
      Output output) {
    sender.recordFailure(relay, AttemptProgress.FAILED, now, output);
    counts.failed(track.instance());
    trace.attemptEnded("upstream_failed", relay, "status=" + began.status(), now, output);
    boolean retried =
        relay.route.retryable()
            && sender.place(relay, now) != null
            && starter.acquireRetry(relay, now);
    if (retried) {
      sender.cancelAttempt(relay, output);
      starter.startNext(relay, now, output);
    } else if (relay.forwarding) {
      completer.abortAnswer(relay, now, output);
    }
    return retried || relay.forwarding;
  }

  /** Goes on after an attempt that failed on its way. */
  void onAttemptFailed(
      ActiveRelay relay, RelayEvent.AttemptFailed failed, Instant now, Output output) {
    UpstreamTrack track = relay.upstream();
    if (track == null) {
      return;
    }
    boolean unsent = failed.failure() == AttemptFailure.NOT_SENT;
    if (failed.failure() != AttemptFailure.STALE_CONNECTION) {
      AttemptProgress how = unsent ? AttemptProgress.UNREACHABLE : AttemptProgress.FAILED;
      sender.recordFailure(relay, how, now, output);
    }
    if (failed.failure().mayHaveRun()) {
      relay.mayHaveRun = true;
      crashes.lost(suspected(track.instance()), relay.requestKey, relay.sentAt, now, output);
    }
    if (failed.failure().countsAgainstVersion()) {
      counts.failed(track.instance());
    }
    updateLastEventId(relay, failed.lastEventId());
    String facts = "how=" + failed.failure() + " after_event=" + relay.lastEventId;
    trace.attemptEnded("attempt_failed", relay, facts, now, output);
    sender.releaseAttempt(relay, output);
    if (unsent) {
      relay.refusingUpstreams.add(track.instance().id());
      onUnreachable(relay, now, output);
    } else {
      starter.retryOrEnd(relay, now, output);
    }
  }

  /**
   * Goes on after an upstream that could not be reached.
   *
   * <p>Nothing reached an upstream, so this is no repeat: neither the route's attempts nor the
   * budget count it. Counted, a route with two attempts ended in an error after 58 ms because two
   * upstreams had just crashed.
   */
  private void onUnreachable(ActiveRelay relay, Instant now, Output output) {
    relay.sentAttempts--;
    relay.unsentAttempts++;
    if (relay.unsentAttempts <= MAX_UNSENT_ATTEMPTS && now.isBefore(relay.deadline)) {
      starter.startNext(relay, now, output);
    } else if (relay.forwarding) {
      completer.abortAnswer(relay, now, output);
    } else {
      Refusal refusal = relay.mayHaveRun ? Refusal.OUTCOME_UNKNOWN : Refusal.NO_UPSTREAM;
      completer.endWithRefusal(relay, refusal, now, output);
    }
  }

  /**
   * Takes a stream that has begun from an upstream that has fallen silent.
   *
   * <p>At first only where another one would go on in time for the longest pause: a busy engine is
   * silent for as long, and its prompt would have to be read again. Later in any case, since an
   * upstream that is cut off without a reset never goes on.
   */
  void onSilentStream(
      ActiveRelay relay, RelayEvent.AnswerSilent silent, Instant now, Output output) {
    updateLastEventId(relay, silent.lastEventId());
    if (!relay.forwarding) {
      return;
    }
    double pause = relay.route.pauseMillis();
    boolean certainlySilent = silent.silentMillis() >= CERTAIN_SILENCE_PAUSES * pause;
    double longest = certainlySilent ? Double.MAX_VALUE : pause - silent.silentMillis();
    failOver(relay, longest, "silent_stream", now, output);
  }

  private static void updateLastEventId(ActiveRelay relay, @Nullable String lastEventId) {
    if (lastEventId != null) {
      relay.lastEventId = lastEventId;
    }
  }

  /** Looks whether an upstream keeps a request waiting for longer than is usual. */
  void checkFirstByteTimeout(ActiveRelay relay, Instant now, Output output) {
    double waitedMillis = Duration.between(relay.sentAt, now).toMillis();
    boolean awaitsFirstByte = !relay.forwarding && relay.placementQuery == 0;
    if (awaitsFirstByte
        && firstByteTimeout.isExceeded(relay.route, relay.modelIndex, waitedMillis)) {
      failOver(relay, Double.MAX_VALUE, "silent", now, output);
    }
  }

  /**
   * Asks another upstream in place of a silent one, once for each request.
   *
   * <p>The attempt is dropped first, so that the two never work on it at once; that needs another
   * upstream and room in the budget, or the caller would lose an answer that may still come.
   */
  private void failOver(
      ActiveRelay relay, double longestMillis, String why, Instant now, Output output) {
    UpstreamTrack silent = relay.upstream();
    boolean possible = !relay.failedOver && silent != null && relay.route.retryable();
    if (!possible || relay.sentAttempts >= relay.route.maxAttempts()) {
      return;
    }
    Placement next = sender.placeFailover(relay, now);
    boolean withinLimit = next != null && next.firstByteMillis() <= longestMillis;
    if (!withinLimit || !starter.acquireRetry(relay, now)) {
      return;
    }
    relay.failedOver = true;
    sender.recordFailure(relay, AttemptProgress.SILENT, now, output);
    recordAbandonedWait(relay, silent, now);
    trace.attemptEnded(why, relay, "after_event=" + relay.lastEventId, now, output);
    sender.cancelAttempt(relay, output);
    crashes.lost(suspected(silent.instance()), relay.requestKey, relay.sentAt, now, output);
    starter.startNext(relay, now, output);
  }

  private static WatchedUpstream suspected(UpstreamInstance instance) {
    return new WatchedUpstream(
        instance.run(),
        instance.service(),
        instance.version(),
        new RelayEffect.ProbeUpstream(instance));
  }

  /**
   * Counts the time of an attempt that was not waited out as if the answer had begun now.
   *
   * <p>A new version has read no prompts yet and is slow at first. Counted as failures, the waits
   * that were given up had a good version rolled back.
   */
  private void recordAbandonedWait(ActiveRelay relay, UpstreamTrack silent, Instant now) {
    if (!relay.forwarding) {
      long waitedMillis = Duration.between(relay.sentAt, now).toMillis();
      firstByteTimeout.record(relay.route, relay.modelIndex, waitedMillis);
      counts.answered(silent.instance(), waitedMillis);
    }
  }
}
