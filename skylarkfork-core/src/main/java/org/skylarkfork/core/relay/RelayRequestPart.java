package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.crash.CrashWatch;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.message.RelayMessage.PlacementAnswer;

/**
 * An entry's decisions on callers' requests, from the arrival to the end.
 *
 * <p>A request goes through {@link RequestIntake}, {@link AttemptStarter} and {@link AttemptSender}
 * to an upstream. Its answer comes back here and is passed on, asked again of a larger model, or
 * handed to {@link AttemptFailureHandler}; {@link RequestCompleter} ends it.
 *
 * <p>A request that must not run twice is sent to a second upstream only after the first has
 * certainly not run it: nothing was sent, or the upstream said so. An entry is the only place that
 * knows an attempt of a caller, so this needs no word with other daemons.
 */
public final class RelayRequestPart implements Part {

  private static final int FIRST_SERVER_ERROR = 500;
  private static final int WRONG_RUN = 421;

  /** Time by which an answer under way may overrun before it is broken off. */
  private static final Duration OVERRUN = Duration.ofMillis(60);

  private final ModelPolicy models;
  private final VersionLedger counts;
  private final ShutdownPolicy stopPlan;
  private final RequestTrace trace;
  private final FirstByteTimeout patience = new FirstByteTimeout();
  private final SentPrefixes prompts = new SentPrefixes();
  private final ActiveRelays active = new ActiveRelays();
  private final CrashWatch crashes;
  private final RateLimitRecorder rateLimits = new RateLimitRecorder();
  private final RequestIntake intake;
  private final SchedulerClient schedulers;
  private final AttemptSender sender;
  private final AttemptStarter starter;
  private final AttemptFailureHandler failures;
  private final RequestCompleter endings;

  /**
   * Makes the part.
   *
   * @param entry what this entry believes
   * @param settings what the deployment sets
   * @param counts takes what is seen of each version
   * @param seed seed of random choices
   */
  public RelayRequestPart(
      RelayEntryPart entry, RelayRequestSettings settings, VersionLedger counts, long seed) {
    this(entry, settings, counts, new AnswerTimes(), seed);
  }

  private RelayRequestPart(
      RelayEntryPart entry,
      RelayRequestSettings settings,
      VersionLedger counts,
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
        new VersionRule(entry, settings.canaryShare()),
        new RetryBudget(settings.retryRatio()),
        counts,
        new ShutdownPolicy(settings.grace()),
        seed);
  }

  RelayRequestPart(
      RelayView view,
      String zone,
      UpstreamPicker picker,
      ModelPolicy models,
      AnswerTimes answerTimes,
      VersionRule versions,
      RetryBudget budget,
      VersionLedger counts,
      ShutdownPolicy stopPlan,
      long seed) {
    this.models = models;
    this.counts = counts;
    this.stopPlan = stopPlan;
    this.trace = new RequestTrace(view);
    this.crashes = new CrashWatch(new LeaderAsJudge(view), "relay_upstreams_ended");
    this.schedulers = new SchedulerClient(view);
    this.sender = new AttemptSender(view, zone, picker, schedulers, versions, prompts, trace);
    this.endings = new RequestCompleter(active, sender, answerTimes, trace);
    this.starter = new AttemptStarter(sender, endings, budget);
    this.failures =
        new AttemptFailureHandler(sender, starter, endings, counts, patience, crashes, trace);
    RequestAdmission admission = new RequestAdmission(view, stopPlan);
    this.intake = new RequestIntake(view, admission, models, endings, seed);
  }

  /** Returns what of this entry's prompts other entries are to be told. */
  SentPrefixes prompts() {
    return prompts;
  }

  /** Returns how many requests are under way. */
  public int activeRequestCount() {
    return active.count();
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick) {
      tick(now, output);
    } else if (event instanceof LifecycleEvent.StopRequested) {
      stopPlan.stop(now);
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof PlacementAnswer answer) {
      SchedulerClient.SchedulerDecision placed =
          schedulers.handleAnswer(received.node(), answer, output);
      if (placed != null) {
        placed(placed, now, output);
      }
    } else if (event instanceof RelayEvent.RequestArrived arrived) {
      begin(intake.arrived(arrived.request(), now, output), now, output);
    } else if (event instanceof RelayEvent.CallerLeft left) {
      callerLeft(left.request(), now, output);
    } else if (event instanceof RelayEvent.AnswerBegan began) {
      ActiveRelay relay = active.find(began.request(), began.attempt());
      if (relay != null) {
        answerBegan(relay, began, now, output);
      }
    } else if (event instanceof RelayEvent.AttemptFailed failed) {
      ActiveRelay relay = active.find(failed.request(), failed.attempt());
      if (relay != null) {
        failures.failed(relay, failed, now, output);
      }
    } else if (event instanceof RelayEvent.UpstreamProbed probed) {
      crashes.probed(probed.upstream(), probed.reachable(), now, output);
    } else if (event instanceof RelayEvent.AnswerSilent silent) {
      ActiveRelay relay = active.find(silent.request(), silent.attempt());
      if (relay != null) {
        failures.silent(relay, silent, now, output);
      }
    } else if (event instanceof RelayEvent.AnswerEnded ended) {
      ActiveRelay relay = active.find(ended.request(), ended.attempt());
      if (relay != null) {
        crashes.served(relay.key, output);
        endings.done(relay, now, output);
      }
    }
  }

  private void begin(@Nullable ActiveRelay relay, Instant now, Output output) {
    if (relay != null) {
      active.add(relay);
      starter.first(relay, now, output);
    }
  }

  private void answerBegan(
      ActiveRelay relay, RelayEvent.AnswerBegan began, Instant now, Output output) {
    TrackedUpstream track = relay.upstream();
    if (track == null) {
      return;
    }
    if (began.status() != WRONG_RUN) {
      rateLimits.recordAnswer(track, began, relay.request.id(), now, output);
    }
    if (began.notRun() || began.status() == WRONG_RUN) {
      failures.notRun(relay, track, began, now, output);
      return;
    }
    relay.mayHaveRun = true;
    relay.confidence = began.confidence();
    relay.answeredAt = now;
    long millis = Duration.between(relay.sentAt, now).toMillis();
    track.recordAnswered(now);
    sender.answered(relay, now, output);
    patience.waited(relay.route, relay.model, millis);
    boolean failed = began.status() >= FIRST_SERVER_ERROR;
    if (failed && failures.serverFailed(relay, track, began, now, output)) {
      return;
    }
    if (!failed) {
      trace.answered(relay, began.status(), now, output);
      track.recordSuccess();
      counts.answered(track.instance(), millis);
    }
    if (relay.forwarding || failed || relay.model < 0 || !askLarger(relay, now, output)) {
      pass(relay, track, output);
    }
  }

  /** Asks a larger model in place of the answer that has begun; returns whether it does. */
  private boolean askLarger(ActiveRelay relay, Instant now, Output output) {
    int larger = models.largerModel(relay.route, relay.model);
    if (larger < 0 || !models.wouldEscalate(relay)) {
      return false;
    }
    if (sender.askSchedulerForLarger(relay, larger, now, output)) {
      return true;
    }
    Placement placement = sender.placeLarger(relay, larger, now);
    return placement != null && askLarger(relay, larger, placement, null, now, output);
  }

  /** Asks a larger model where it is placed, if that is still wanted; returns whether it is. */
  private boolean askLarger(
      ActiveRelay relay,
      int larger,
      Placement placement,
      @Nullable SchedulerGrant grant,
      Instant now,
      Output output) {
    if (!models.shouldEscalate(relay, placement, now) || !starter.mayRepeat(relay, now)) {
      sender.giveBack(grant, output);
      return false;
    }
    trace.larger(relay, larger, placement, now, output);
    sender.drop(relay, output);
    relay.model = larger;
    sender.send(relay, placement, grant, now, output);
    return true;
  }

  /** Goes on with a request whose scheduler has answered, or kept silent. */
  private void placed(SchedulerClient.SchedulerDecision placed, Instant now, Output output) {
    if (!placed.isEscalation()) {
      starter.placed(placed, now, output);
      return;
    }
    ActiveRelay relay = placed.relay();
    int larger = models.largerModel(relay.route, relay.model);
    Placement chosen = placed.placement();
    Placement placement = chosen == null ? sender.placeLarger(relay, larger, now) : chosen;
    TrackedUpstream track = relay.upstream();
    boolean asked =
        placement != null && askLarger(relay, larger, placement, placed.grant(), now, output);
    if (!asked && track != null) {
      pass(relay, track, output);
    }
  }

  private static void pass(ActiveRelay relay, TrackedUpstream track, Output output) {
    if (!relay.forwarding) {
      relay.forwarding = true;
      relay.version = track.instance().version();
    }
    output.effect(new RelayEffect.PassAnswer(relay.request.number(), relay.attempt));
  }

  private void tick(Instant now, Output output) {
    crashes.tick(now, output);
    intake.released(now, output).forEach(relay -> begin(relay, now, output));
    schedulers.takeTimedOut(now, output).forEach(placed -> placed(placed, now, output));
    for (ActiveRelay relay : active.all()) {
      if (now.isBefore(relay.deadline)) {
        failures.lookAtWait(relay, now, output);
      } else if (!relay.forwarding) {
        Refusal refusal = relay.sent > 0 ? Refusal.TIME_OUT : Refusal.TOO_LATE;
        endings.giveUp(relay, refusal, now, output);
      } else if (now.isAfter(relay.deadline.plus(OVERRUN))) {
        endings.breakOff(relay, now, output);
      }
    }
  }

  private void callerLeft(long request, Instant now, Output output) {
    if (intake.forget(request)) {
      output.effect(new RelayEffect.Forget(request));
    }
    ActiveRelay relay = active.find(request);
    if (relay != null) {
      endings.callerLeft(relay, now, output);
    }
  }
}
