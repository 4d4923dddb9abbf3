package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.answer.ConnectionEnd;
import org.skylarkfork.core.answer.ForwardedEvents;
import org.skylarkfork.core.crash.CrashDetector;
import org.skylarkfork.core.crash.SuspectedUpstream;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.message.RelayMessage.AttemptProgress;

/**
 * Retries, fails over or ends requests whose attempts failed, were rejected unexecuted or are slow.
 */
final class AttemptFailureHandler {

  private static final int MISDIRECTED_REQUEST = 421;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  /** Maximum number of unreachable upstreams that are tried for one request. */
  private static final int MAX_UNSENT_ATTEMPTS = 4;

  /**
   * Length of the silence, as a multiple of the route's pause objective, after which a stream fails
   * over even if the other upstream can't meet the objective.
   */
  private static final double CERTAIN_SILENCE_PAUSES = 1.75;

  private final AttemptSender sender;
  private final AttemptStarter starter;
  private final RequestCompleter completer;
  private final VersionStatistics counts;
  private final FirstByteTimeout firstByteTimeout;
  private final CrashDetector crashes;
  private final RequestTrace trace;

  AttemptFailureHandler(
      AttemptSender sender,
      AttemptStarter starter,
      RequestCompleter completer,
      VersionStatistics counts,
      FirstByteTimeout firstByteTimeout,
      CrashDetector crashes,
      RequestTrace trace) {
    this.sender = sender;
    this.starter = starter;
    this.completer = completer;
    this.counts = counts;
    this.firstByteTimeout = firstByteTimeout;
    this.crashes = crashes;
    this.trace = trace;
  }

  /** Handles an upstream's report that it has not run the request. */
  void onNotRun(
      ActiveRelay relay,
      TrackedUpstream upstream,
      RelayEvent.AnswerBegan began,
      Instant now,
      Output output) {
    if (began.status() == MISDIRECTED_REQUEST) {
      upstream.markReplaced();
    } else {
      if (began.status() == TOO_MANY_REQUESTS || began.status() == SERVICE_UNAVAILABLE) {
        sender.reportFull(relay, now, output);
      }
      sender.recordFailure(relay, AttemptProgress.FAILED, now, output);
    }
    relay.refusingUpstreams.add(upstream.instance().id());
    trace.attemptEnded("not_run", relay, "status=" + began.status(), now, output);
    sender.cancelAttempt(relay, output);
    starter.retryOrEnd(relay, now, output);
  }

  /**
   * Retries the request after an upstream answered with a server error, if another attempt is
   * allowed. An error that asks for a backoff doesn't count against the upstream's version.
   *
   * @return whether the request was retried or ended; if false, the caller must receive the error
   *     answer
   */
  boolean onServerError(
      ActiveRelay relay,
      TrackedUpstream upstream,
      RelayEvent.AnswerBegan began,
      Instant now,
      Output output) {
    sender.recordFailure(relay, AttemptProgress.FAILED, now, output);
    if (!relay.backoffRequested) {
      counts.recordFailure(upstream.instance());
    }
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

  /**
   * Ends a stream that another run was to continue, and which that run rejects: the caller has the
   * head of the stream already, behind which no other one can be sent.
   */
  void onContinuationRejected(
      ActiveRelay relay, RelayEvent.AnswerBegan began, Instant now, Output output) {
    trace.attemptEnded("continuation_rejected", relay, "status=" + began.status(), now, output);
    completer.abortAnswer(relay, now, output);
  }

  /** Handles an attempt that failed before its answer was complete. */
  void onAttemptFailed(
      ActiveRelay relay, RelayEvent.AttemptFailed failed, Instant now, Output output) {
    TrackedUpstream upstream = relay.upstream();
    if (upstream == null) {
      return;
    }
    relay.connectionUse = failed.answer().use();
    boolean ownPathFailed = isOwnPathFailure(relay, failed.failure(), now);
    if (!ownPathFailed) {
      recordFailure(relay, failed.failure(), now, output);
    }
    if (failed.failure().mayHaveRun()) {
      relay.mayHaveRun = true;
    }
    if (failed.failure().mayBeCrash()) {
      crashes.recordLoss(suspected(upstream.instance()), relay.keys, relay.sentAt, now, output);
    }
    countAgainstVersion(relay, upstream.instance(), failed, now);
    updatePosition(relay, failed.forwarded());
    String facts =
        "how="
            + failed.failure()
            + " after_event="
            + relay.lastEventId
            + " "
            + failed.answer().facts();
    trace.answerEnded(failed.answer(), output);
    trace.attemptFailed(failed.failure(), output);
    trace.attemptEnded("attempt_failed", relay, facts, now, output);
    sender.releaseAttempt(relay, output);
    if (failed.failure().isUnsent()) {
      relay.refusingUpstreams.add(upstream.instance().id());
      if (failed.failure() != AttemptFailure.FORWARD_REJECTED
          && failed.failure() != AttemptFailure.UNSENDABLE) {
        relay.unreachedUpstreams.add(upstream.instance().id());
      }
      if (ownPathFailed) {
        forgetUnreached(relay);
      }
      onUnreachable(relay, now, output);
    } else {
      starter.retryOrEnd(relay, now, output);
    }
  }

  /** The loss of a forwarded connection isn't counted: the forwarding entry may have caused it. */
  private void countAgainstVersion(
      ActiveRelay relay, UpstreamInstance upstream, RelayEvent.AttemptFailed failed, Instant now) {
    if (!failed.failure().countsAgainstVersion()) {
      return;
    }
    boolean connectionLost =
        failed.failure() == AttemptFailure.NO_ANSWER
            || failed.answer().connectionEnd() == ConnectionEnd.LOST;
    if (!connectionLost) {
      counts.recordFailure(upstream);
    } else if (relay.forwarder == null) {
      counts.recordLoss(upstream, now);
    }
  }

  /** Returns whether a failure to connect says nothing about the upstream. */
  private boolean isOwnPathFailure(ActiveRelay relay, AttemptFailure failure, Instant now) {
    return failure == AttemptFailure.NOT_FORWARDED
        || failure == AttemptFailure.NOT_SENT
            && sender.isForwarded(relay, now)
            && (relay.forwarder == null || sender.isSuspected(relay));
  }

  /** Lets the request be sent to upstreams that it couldn't reach over this entry's links. */
  private static void forgetUnreached(ActiveRelay relay) {
    relay.triedUpstreams.removeAll(relay.unreachedUpstreams);
    relay.refusingUpstreams.removeAll(relay.unreachedUpstreams);
    relay.unreachedUpstreams.clear();
  }

  private void recordFailure(
      ActiveRelay relay, AttemptFailure failure, Instant now, Output output) {
    switch (failure) {
      case STALE_CONNECTION,
          RECALLED,
          NOT_FORWARDED,
          FORWARD_REJECTED,
          UNSENDABLE,
          BUFFERS_FULL -> {}
      case NOT_SENT -> sender.recordFailure(relay, AttemptProgress.UNREACHABLE, now, output);
      default -> sender.recordFailure(relay, AttemptProgress.FAILED, now, output);
    }
  }

  /**
   * Tries another upstream after one that received nothing.
   *
   * <p>Nothing reached an upstream, so the next attempt is not a retry and counts neither toward
   * the route's maximum of attempts nor toward the retry budget. When it counted, a request on a
   * route with two attempts failed after 58 ms because two upstreams had just crashed.
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
   * Fails a stream over whose upstream has become silent after its answer began.
   *
   * <p>Initially the stream fails over only if another upstream is expected to continue it within
   * the route's pause objective, because a busy engine can be silent for as long and the other
   * upstream must prefill the prompt again. After a longer silence the stream fails over
   * regardless, because an upstream that is disconnected without a TCP reset never continues.
   */
  void onSilentStream(
      ActiveRelay relay, RelayEvent.AnswerSilent silent, Instant now, Output output) {
    updatePosition(relay, silent.forwarded());
    if (!relay.forwarding) {
      return;
    }
    double pause = relay.route.pauseMillis();
    boolean certainlySilent =
        silent.silentMillis() >= CERTAIN_SILENCE_PAUSES * pause || sender.isOnCutLinks(relay);
    double maxFirstByteMillis = certainlySilent ? Double.MAX_VALUE : pause - silent.silentMillis();
    failOver(relay, maxFirstByteMillis, "silent_stream", now, output);
  }

  private static void updatePosition(ActiveRelay relay, ForwardedEvents forwarded) {
    relay.positionKnown = forwarded.isContinuable();
    if (forwarded.lastId() != null) {
      relay.lastEventId = forwarded.lastId();
    }
  }

  /**
   * Fails a request over if its upstream has exceeded the first-byte timeout.
   *
   * <p>A shifted attempt waits longer than others of its route, so its expected wait isn't counted.
   * Otherwise the attempts of a team over its share would be sent a second time, and their engines
   * would count as silent.
   */
  void checkFirstByteTimeout(ActiveRelay relay, Instant now, Output output) {
    Placement placement = relay.placement;
    double shiftedMillis = placement == null || placement.shift() == 0 ? 0 : placement.waitMillis();
    double waitedMillis = Duration.between(relay.sentAt, now).toMillis() - shiftedMillis;
    boolean awaitsFirstByte = !relay.forwarding && relay.placementQuery == 0;
    if (awaitsFirstByte
        && firstByteTimeout.isExceeded(relay.route, relay.modelIndex, waitedMillis)) {
      failOver(relay, Double.MAX_VALUE, "silent", now, output);
    }
  }

  /** Fails a request over that was sent over links which turn out to be cut. */
  void checkOwnLinks(ActiveRelay relay, Instant now, Output output) {
    if (sender.checkUnanswered(relay, now)) {
      failOver(relay, Double.MAX_VALUE, "path_cut", now, output);
    }
  }

  /**
   * Fails over from a silent upstream to another one, at most once per request.
   *
   * <p>The current attempt is cancelled first, so that two upstreams never run the request at once.
   * It is cancelled only if another upstream is available and the retry budget allows an attempt,
   * because otherwise the caller would lose an answer that may still come.
   */
  private void failOver(
      ActiveRelay relay, double maxFirstByteMillis, String why, Instant now, Output output) {
    TrackedUpstream silent = relay.upstream();
    boolean possible =
        !relay.failedOver && silent != null && relay.route.retryable() && relay.isContinuable();
    if (!possible || relay.sentAttempts >= relay.route.maxAttempts()) {
      return;
    }
    Placement next = sender.placeFailover(relay, now);
    boolean withinLimit = next != null && next.firstByteMillis() <= maxFirstByteMillis;
    if (!withinLimit || !starter.acquireRetry(relay, now)) {
      return;
    }
    relay.failedOver = true;
    relay.mayHaveRun = true;
    boolean upstreamSilent = !sender.isOnCutLinks(relay);
    if (upstreamSilent) {
      sender.recordFailure(relay, AttemptProgress.SILENT, now, output);
      recordAbandonedWait(relay, silent, now);
    }
    trace.attemptEnded(why, relay, "after_event=" + relay.lastEventId, now, output);
    sender.cancelAttempt(relay, output);
    if (upstreamSilent) {
      crashes.recordLoss(suspected(silent.instance()), relay.keys, relay.sentAt, now, output);
    }
    starter.startNext(relay, now, output);
  }

  private static SuspectedUpstream suspected(UpstreamInstance instance) {
    return new SuspectedUpstream(
        instance.run(),
        instance.service(),
        instance.version(),
        new RelayEffect.ProbeUpstream(instance));
  }

  /**
   * Records the time spent on an abandoned attempt as if its answer had begun now.
   *
   * <p>A new version has no cached prompt prefixes and is slow at first. When abandoned attempts
   * counted as failures, a good version was rolled back.
   */
  private void recordAbandonedWait(ActiveRelay relay, TrackedUpstream silent, Instant now) {
    if (!relay.forwarding) {
      long waitedMillis = Duration.between(relay.sentAt, now).toMillis();
      firstByteTimeout.addSample(relay.route, relay.modelIndex, waitedMillis);
      counts.recordAnswer(silent.instance(), waitedMillis);
    }
  }

  /** Records that the attempt in progress ends because the request's deadline or caller is gone. */
  void recordAbandoned(ActiveRelay relay, Instant now) {
    if (relay.forwarder == null && !sender.isOnCutLinks(relay)) {
      counts.recordAbandoned(relay.request.number(), now);
    }
  }
}
