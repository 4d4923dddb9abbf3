package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.crash.AttemptInProgress;
import org.skylarkfork.core.crash.CrashDetector;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.message.CrashMessage.PartsSuspected;
import org.skylarkfork.core.message.RelayMessage.PlacementAnswer;
import org.skylarkfork.core.message.SlotMessage.SlotAnswer;
import org.skylarkfork.core.returning.ReturnSchedules;
import org.skylarkfork.core.waiting.SlotDecision;

/**
 * Processes callers' requests at an entry from their arrival to their completion.
 *
 * <p>A request goes through {@link RequestIntake}, {@link AttemptStarter} and {@link AttemptSender}
 * to an upstream. This class forwards the upstream's answer, escalates the request to a larger
 * model, or delegates a failure to {@link AttemptFailureHandler}; {@link RequestCompleter} ends the
 * request.
 *
 * <p>A request that must not run twice is sent to a second upstream only if the first has certainly
 * not run it: nothing was sent, or the upstream reported that it has not run the request. All
 * attempts for a caller's request start at one entry, so this needs no coordination with other
 * daemons.
 */
public final class RelayRequestPart implements Part {

  private static final int FIRST_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int MISDIRECTED_REQUEST = 421;

  /** Time after the deadline at which an incomplete answer is aborted. */
  private static final Duration MAX_OVERRUN = Duration.ofMillis(60);

  private final RelayView view;
  private final ModelPolicy models;
  private final VersionStatistics counts;
  private final ShutdownPolicy shutdownPolicy;
  private final RequestTrace trace;
  private final FirstByteTimeout firstByteTimeout = new FirstByteTimeout();
  private final SentPrefixes prompts = new SentPrefixes();
  private final ActiveRelays active = new ActiveRelays();
  private final CrashDetector crashes;
  private final RateLimitRecorder rateLimits = new RateLimitRecorder();
  private final UpstreamNoticeRecorder notices;
  private final RequestIntake intake;
  private final SchedulerClient schedulers;
  private final CallSlots slots;
  private final AttemptSender sender;
  private final AttemptStarter starter;
  private final AttemptFailureHandler failures;
  private final RequestCompleter completer;

  /**
   * Creates the part.
   *
   * @param entry this entry's view of the deployment
   * @param settings settings of the deployment
   * @param counts records the outcomes observed per version
   * @param seed seed of random choices
   */
  public RelayRequestPart(
      RelayEntryPart entry, RelayRequestSettings settings, VersionStatistics counts, long seed) {
    this(entry, settings, counts, new AnswerTimes(), seed);
  }

  private RelayRequestPart(
      RelayEntryPart entry,
      RelayRequestSettings settings,
      VersionStatistics counts,
      AnswerTimes answerTimes,
      long seed) {
    this(
        entry,
        settings.zone(),
        new LeastTimePicker(
            entry,
            new EntryColdStartLimiter(entry, entry.name()),
            new RateLimiter(new EntryRateDivision(entry)),
            seed),
        new ConfidenceCascade(answerTimes),
        answerTimes,
        new VersionSelector(entry, settings.canaryShare()),
        new RetryBudget(settings.retryRatio()),
        counts,
        new ShutdownPolicy(settings.grace()),
        settings.overload().callSlots(),
        new ReturnSchedules(settings.overload().spreadReturns()),
        seed);
  }

  RelayRequestPart(
      RelayView view,
      String zone,
      UpstreamPicker picker,
      ModelPolicy models,
      AnswerTimes answerTimes,
      VersionSelector versions,
      RetryBudget budget,
      VersionStatistics counts,
      ShutdownPolicy shutdownPolicy,
      ReturnSchedules returns,
      long seed) {
    this(
        view,
        zone,
        picker,
        models,
        answerTimes,
        versions,
        budget,
        counts,
        shutdownPolicy,
        true,
        returns,
        seed);
  }

  RelayRequestPart(
      RelayView view,
      String zone,
      UpstreamPicker picker,
      ModelPolicy models,
      AnswerTimes answerTimes,
      VersionSelector versions,
      RetryBudget budget,
      VersionStatistics counts,
      ShutdownPolicy shutdownPolicy,
      boolean callSlots,
      ReturnSchedules returns,
      long seed) {
    this.view = view;
    this.models = models;
    this.counts = counts;
    this.shutdownPolicy = shutdownPolicy;
    this.trace = new RequestTrace(view);
    this.notices = new UpstreamNoticeRecorder(view, seed);
    this.crashes = new CrashDetector(new LeaderCrashReviewers(view), "relay_upstreams_ended");
    this.schedulers = new SchedulerClient(view);
    this.slots = new CallSlots(view, zone, picker, callSlots);
    this.sender =
        new AttemptSender(view, zone, picker, schedulers, slots, versions, counts, prompts, trace);
    this.completer = new RequestCompleter(active, sender, answerTimes, returns, trace);
    this.starter = new AttemptStarter(sender, completer, budget);
    this.failures =
        new AttemptFailureHandler(
            sender, starter, completer, counts, firstByteTimeout, crashes, trace);
    RequestAdmission admission = new RequestAdmission(view, shutdownPolicy);
    this.intake = new RequestIntake(view, admission, models, completer, trace, seed);
  }

  /** Returns the prompt prefixes that this entry has sent, for reports to other entries. */
  SentPrefixes prompts() {
    return prompts;
  }

  /** Returns the number of requests in progress. */
  public int activeRequestCount() {
    return active.count();
  }

  /** Returns the number of requests that wait until the entry is ready. */
  public int pendingRequestCount() {
    return intake.pendingCount();
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick) {
      tick(now, output);
    } else if (event instanceof LifecycleEvent.StopRequested) {
      shutdownPolicy.stop(now);
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof PlacementAnswer answer) {
      SchedulerClient.SchedulerDecision placed =
          schedulers.handleAnswer(received.node(), answer, now, output);
      if (placed != null) {
        onPlacement(placed, now, output);
      }
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof SlotAnswer answer) {
      onSlotDecision(slots.onAnswer(received.node(), answer, now, output), now, output);
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof PartsSuspected question) {
      crashes.onPartsSuspected(question, attemptsInProgress(), now, output);
    } else if (event instanceof RelayEvent.RequestArrived arrived) {
      start(intake.onArrival(arrived.request(), now, output), now, output);
    } else if (event instanceof RelayEvent.CallerLeft left) {
      callerLeft(left.request(), now, output);
    } else if (event instanceof RelayEvent.NoticeReceived received) {
      ActiveRelay relay = active.find(received.request(), received.attempt());
      if (relay != null) {
        noticeReceived(relay, received, now, output);
      }
    } else if (event instanceof RelayEvent.AnswerBegan began) {
      ActiveRelay relay = active.find(began.request(), began.attempt());
      if (relay != null) {
        answerBegan(relay, began, now, output);
      }
    } else if (event instanceof RelayEvent.AttemptFailed failed) {
      ActiveRelay relay = active.find(failed.request(), failed.attempt());
      if (relay != null) {
        failures.onAttemptFailed(relay, failed, now, output);
      }
    } else if (event instanceof RelayEvent.UpstreamProbed probed) {
      crashes.onProbeResult(probed.upstream(), probed.reachable(), now, output);
    } else if (event instanceof RelayEvent.AnswerSilent silent) {
      ActiveRelay relay = active.find(silent.request(), silent.attempt());
      if (relay != null) {
        failures.onSilentStream(relay, silent, now, output);
      }
    } else if (event instanceof RelayEvent.ExtraAnswer extra) {
      trace.extraAnswer(extra, now, output);
    } else if (event instanceof RelayEvent.AnswerEnded ended) {
      ActiveRelay relay = active.find(ended.request(), ended.attempt());
      if (relay != null) {
        if (relay.answeredWithSuccess) {
          recordServed(relay, now, output);
        }
        completer.complete(relay, ended.answer(), now, output);
      }
    }
  }

  private void recordServed(ActiveRelay relay, Instant now, Output output) {
    crashes.recordServed(relay.keys, relay.service.name(), now, output);
    RequestKey quarantined = view.quarantinedKey(relay.keys);
    if (quarantined != null && !quarantined.equals(relay.keys.content())) {
      crashes.reportServedPart(quarantined, output);
    }
  }

  private List<AttemptInProgress> attemptsInProgress() {
    List<AttemptInProgress> running = new ArrayList<>();
    for (ActiveRelay relay : active.all()) {
      if (relay.placement != null) {
        running.add(new AttemptInProgress(relay.keys, relay.sentAt));
      }
    }
    return running;
  }

  private void start(@Nullable ActiveRelay relay, Instant now, Output output) {
    if (relay != null) {
      active.add(relay);
      starter.startFirst(relay, now, output);
    }
  }

  private void noticeReceived(
      ActiveRelay relay, RelayEvent.NoticeReceived received, Instant now, Output output) {
    TrackedUpstream upstream = relay.upstream();
    if (upstream != null) {
      relay.backoffRequested =
          notices.recordNotice(upstream, received, relay.request.id(), now, output);
      sender.reportForwardedBackoff(relay, now, output);
    }
  }

  private void answerBegan(
      ActiveRelay relay, RelayEvent.AnswerBegan began, Instant now, Output output) {
    TrackedUpstream upstream = relay.upstream();
    if (upstream == null) {
      return;
    }
    relay.connectionUse = began.use();
    if (began.status() != MISDIRECTED_REQUEST) {
      rateLimits.recordAnswer(upstream, began, relay.request.id(), now, output);
    }
    if (began.notRun() || began.status() == MISDIRECTED_REQUEST) {
      failures.onNotRun(relay, upstream, began, now, output);
      return;
    }
    relay.mayHaveRun = true;
    relay.answeredWithSuccess = began.status() < FIRST_ERROR;
    relay.confidence = began.confidence();
    relay.answeredAt = now;
    long millis = Duration.between(relay.sentAt, now).toMillis();
    upstream.recordAnswered(now);
    sender.recordFirstByte(relay, now, output);
    if (relay.placement == null || relay.placement.shift() == 0) {
      firstByteTimeout.addSample(relay.route, relay.modelIndex, millis);
    }
    boolean serverError = began.status() >= FIRST_SERVER_ERROR;
    if (serverError && failures.onServerError(relay, upstream, began, now, output)) {
      return;
    }
    if (!serverError) {
      trace.answered(relay, began.status(), now, output);
      upstream.recordSuccess();
      counts.recordAnswer(upstream.instance(), millis);
    }
    if (relay.forwarding || serverError || relay.modelIndex < 0 || !escalate(relay, now, output)) {
      forwardAnswer(relay, upstream, output);
    }
  }

  /**
   * Escalates to a larger model if the confidence in the answer is too low and the request may run
   * again; returns whether the entry discards the answer or waits for a scheduler's placement.
   */
  private boolean escalate(ActiveRelay relay, Instant now, Output output) {
    int largerModel = models.largerModel(relay.route, relay.modelIndex);
    if (largerModel < 0 || !relay.route.retryable() || !models.wouldEscalate(relay)) {
      return false;
    }
    if (sender.querySchedulerForEscalation(relay, largerModel, now, output)) {
      return true;
    }
    Placement placement = sender.placeEscalation(relay, largerModel, now);
    return placement != null && escalate(relay, largerModel, placement, null, now, output);
  }

  /**
   * Sends an escalation to its placement if the model policy and the retry budget allow it; returns
   * whether it was sent.
   */
  private boolean escalate(
      ActiveRelay relay,
      int largerModel,
      Placement placement,
      @Nullable SchedulerGrant grant,
      Instant now,
      Output output) {
    if (!models.shouldEscalate(relay, placement, now) || !starter.acquireRetry(relay, now)) {
      sender.releaseGrant(grant, output);
      return false;
    }
    trace.escalated(relay, largerModel, placement, now, output);
    sender.cancelAttempt(relay, output);
    relay.modelIndex = largerModel;
    sender.send(relay, placement, grant, now, output);
    return true;
  }

  /** Continues a request whose placement query was answered or timed out. */
  private void onPlacement(SchedulerClient.SchedulerDecision placed, Instant now, Output output) {
    if (!placed.isEscalation()) {
      starter.onPlacement(placed, now, output);
      return;
    }
    ActiveRelay relay = placed.relay();
    int largerModel = models.largerModel(relay.route, relay.modelIndex);
    Placement chosen = placed.placement();
    Placement placement = chosen == null ? sender.placeEscalation(relay, largerModel, now) : chosen;
    TrackedUpstream upstream = relay.upstream();
    boolean isEscalated =
        placement != null && escalate(relay, largerModel, placement, placed.grant(), now, output);
    if (!isEscalated && upstream != null) {
      forwardAnswer(relay, upstream, output);
    }
  }

  /** Continues a request whose ask for a slot was decided; does nothing for null. */
  private void onSlotDecision(@Nullable SlotDecision decision, Instant now, Output output) {
    ActiveRelay relay = decision == null ? null : active.find(decision.request());
    if (relay != null) {
      slots.log(relay, decision, output);
      starter.onSlotDecision(relay, decision, now, output);
    }
  }

  private static void forwardAnswer(ActiveRelay relay, TrackedUpstream upstream, Output output) {
    if (!relay.forwarding) {
      relay.forwarding = true;
      relay.version = upstream.instance().version();
    }
    output.effect(new RelayEffect.PassAnswer(relay.request.number(), relay.attempt));
  }

  private void tick(Instant now, Output output) {
    crashes.tick(now, output);
    counts.confirmLosses(view.paths(), now);
    intake.releasePending(now, output).forEach(relay -> start(relay, now, output));
    schedulers.takeTimedOut(now, output).forEach(placed -> onPlacement(placed, now, output));
    slots.takeTimedOut(now, output).forEach(decision -> onSlotDecision(decision, now, output));
    for (ActiveRelay relay : active.all()) {
      if (now.isBefore(relay.deadline)) {
        failures.checkOwnLinks(relay, now, output);
        failures.checkFirstByteTimeout(relay, now, output);
      } else if (!relay.forwarding) {
        failures.recordAbandoned(relay, now);
        Refusal refusal = relay.sentAttempts > 0 ? Refusal.TIME_OUT : Refusal.TOO_LATE;
        completer.endWithRefusal(relay, refusal, now, output);
      } else if (now.isAfter(relay.deadline.plus(MAX_OVERRUN))) {
        completer.abortAnswer(relay, now, output);
      }
    }
  }

  private void callerLeft(long request, Instant now, Output output) {
    if (intake.removePending(request)) {
      output.effect(new RelayEffect.Forget(request));
    }
    ActiveRelay relay = active.find(request);
    if (relay != null) {
      failures.recordAbandoned(relay, now);
      completer.callerLeft(relay, now, output);
    }
  }
}
