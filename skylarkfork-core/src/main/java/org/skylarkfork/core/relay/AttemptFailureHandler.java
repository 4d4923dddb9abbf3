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

  private static final int WRONG_RUN = 421;

  /** Upstreams to which no connection can be made that are tried for one request. */
  private static final int MAX_UNSENT = 4;

  /**
   * Silence, in pauses that are on time, from which on a stream is moved though it will be late.
   */
  private static final double SURELY_SILENT_PAUSES = 1.75;

  private final AttemptSender sender;
  private final AttemptStarter starter;
  private final RequestCompleter endings;
  private final VersionLedger counts;
  private final FirstByteTimeout patience;
  private final CrashWatch crashes;
  private final RequestTrace trace;

  AttemptFailureHandler(
      AttemptSender sender,
      AttemptStarter starter,
      RequestCompleter endings,
      VersionLedger counts,
      FirstByteTimeout patience,
      CrashWatch crashes,
      RequestTrace trace) {
    this.sender = sender;
    this.starter = starter;
    this.endings = endings;
    this.counts = counts;
    this.patience = patience;
    this.crashes = crashes;
    this.trace = trace;
  }

  /** Goes on after an upstream that said that it has not run the request. */
  void notRun(
      ActiveRelay relay,
      TrackedUpstream track,
      RelayEvent.AnswerBegan began,
      Instant now,
      Output output) {
    if (began.status() == WRONG_RUN) {
      track.markReplaced();
    } else {
      sender.failed(relay, AttemptProgress.FAILED, now, output);
    }
    relay.refusedBy.add(track.instance().id());
    trace.attemptEnded("not_run", relay, "status=" + began.status(), now, output);
    sender.drop(relay, output);
    starter.again(relay, now, output);
  }

  /**
   * Goes on after an upstream's own failure, if there is another try for the request.
   *
   * @return whether the request went on or ended; if not, the failure is to be passed on
   */
  boolean serverFailed(
      ActiveRelay relay,
      TrackedUpstream track,
      RelayEvent.AnswerBegan began,
      Instant now,
      Output output) {
    sender.failed(relay, AttemptProgress.FAILED, now, output);
    counts.failed(track.instance());
    trace.attemptEnded("upstream_failed", relay, "status=" + began.status(), now, output);
    boolean again =
        relay.route.retryable()
            && sender.place(relay, now) != null
            && starter.mayRepeat(relay, now);
    if (again) {
      sender.drop(relay, output);
      starter.next(relay, now, output);
    } else if (relay.forwarding) {
      endings.breakOff(relay, now, output);
    }
    return again || relay.forwarding;
  }

  /** Goes on after an attempt that failed on its way. */
  void failed(ActiveRelay relay, RelayEvent.AttemptFailed failed, Instant now, Output output) {
    TrackedUpstream track = relay.upstream();
    if (track == null) {
      return;
    }
    boolean unsent = failed.failure() == AttemptFailure.NOT_SENT;
    if (failed.failure() != AttemptFailure.STALE_CONNECTION) {
      AttemptProgress how = unsent ? AttemptProgress.UNREACHABLE : AttemptProgress.FAILED;
      sender.failed(relay, how, now, output);
    }
    if (failed.failure().mayHaveRun()) {
      relay.mayHaveRun = true;
      crashes.lost(watched(track.instance()), relay.key, relay.sentAt, now, output);
    }
    if (failed.failure().countsAgainstVersion()) {
      counts.failed(track.instance());
    }
    noteLastEvent(relay, failed.lastEventId());
    String facts = "how=" + failed.failure() + " after_event=" + relay.lastEventId;
    trace.attemptEnded("attempt_failed", relay, facts, now, output);
    sender.release(relay, output);
    if (unsent) {
      relay.refusedBy.add(track.instance().id());
      tryElsewhere(relay, now, output);
    } else {
      starter.again(relay, now, output);
    }
  }

  /**
   * Goes on after an upstream that could not be reached.
   *
   * <p>Nothing reached an upstream, so this is no repeat: neither the route's attempts nor the
   * budget count it. Counted, a route with two attempts ended in an error after 58 ms because two
   * upstreams had just crashed.
   */
  private void tryElsewhere(ActiveRelay relay, Instant now, Output output) {
    relay.sent--;
    relay.unsent++;
    if (relay.unsent <= MAX_UNSENT && now.isBefore(relay.deadline)) {
      starter.next(relay, now, output);
    } else if (relay.forwarding) {
      endings.breakOff(relay, now, output);
    } else {
      Refusal refusal = relay.mayHaveRun ? Refusal.OUTCOME_UNKNOWN : Refusal.NO_UPSTREAM;
      endings.giveUp(relay, refusal, now, output);
    }
  }

  /**
   * Takes a stream that has begun from an upstream that has fallen silent.
   *
   * <p>At first only where another one would go on in time for the longest pause: a busy engine is
   * silent for as long, and its prompt would have to be read again. Later in any case, since an
   * upstream that is cut off without a reset never goes on.
   */
  void silent(ActiveRelay relay, RelayEvent.AnswerSilent silent, Instant now, Output output) {
    noteLastEvent(relay, silent.lastEventId());
    if (!relay.forwarding) {
      return;
    }
    double pause = relay.route.pauseMillis();
    boolean surely = silent.silentMillis() >= SURELY_SILENT_PAUSES * pause;
    double longest = surely ? Double.MAX_VALUE : pause - silent.silentMillis();
    moveOn(relay, longest, "silent_stream", now, output);
  }

  private static void noteLastEvent(ActiveRelay relay, @Nullable String lastEventId) {
    if (lastEventId != null) {
      relay.lastEventId = lastEventId;
    }
  }

  /** Looks whether an upstream keeps a request waiting for longer than is usual. */
  void lookAtWait(ActiveRelay relay, Instant now, Output output) {
    double waited = Duration.between(relay.sentAt, now).toMillis();
    boolean waits = !relay.forwarding && relay.placementQuery == 0;
    if (waits && patience.exhausted(relay.route, relay.model, waited)) {
      moveOn(relay, Double.MAX_VALUE, "silent", now, output);
    }
  }

  /**
   * Asks another upstream in place of a silent one, once for each request.
   *
   * <p>The attempt is dropped first, so that the two never work on it at once; that needs another
   * upstream and room in the budget, or the caller would lose an answer that may still come.
   */
  private void moveOn(
      ActiveRelay relay, double longestMillis, String why, Instant now, Output output) {
    TrackedUpstream silent = relay.upstream();
    boolean possible = !relay.failedOver && silent != null && relay.route.retryable();
    if (!possible || relay.sent >= relay.route.maxAttempts()) {
      return;
    }
    Placement next = sender.placeElsewhere(relay, now);
    boolean timely = next != null && next.firstByteMillis() <= longestMillis;
    if (!timely || !starter.mayRepeat(relay, now)) {
      return;
    }
    relay.failedOver = true;
    sender.failed(relay, AttemptProgress.SILENT, now, output);
    noteWait(relay, silent, now);
    trace.attemptEnded(why, relay, "after_event=" + relay.lastEventId, now, output);
    sender.drop(relay, output);
    crashes.lost(watched(silent.instance()), relay.key, relay.sentAt, now, output);
    starter.next(relay, now, output);
  }

  private static WatchedUpstream watched(UpstreamInstance instance) {
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
  private void noteWait(ActiveRelay relay, TrackedUpstream silent, Instant now) {
    if (!relay.forwarding) {
      long waited = Duration.between(relay.sentAt, now).toMillis();
      patience.waited(relay.route, relay.model, waited);
      counts.answered(silent.instance(), waited);
    }
  }
}
