package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.RelayEvent;

/**
 * An entry's decisions on callers' requests.
 *
 * <p>A request that must not run twice is sent to a second upstream only after the first has
 * certainly not run it: nothing was sent, or the upstream said so. An entry is the only place that
 * knows an attempt of a caller, so this needs no word with other daemons.
 */
public final class RelayRequestPart implements Part {

  private static final int FIRST_SERVER_ERROR = 500;
  private static final int WRONG_RUN = 421;

  /** When to come back where nothing could take the request, in milliseconds. */
  private static final long RETRY_MILLIS = 250;

  /** Weight of one answer in the pressure: the newest 20 count most, about a second's at a peak. */
  private static final double PRESSURE_LEARNING = 0.05;

  /** When to come back, to another entry, in milliseconds. */
  private static final long STOPPING_RETRY_MILLIS = 10;

  /** When to come back to an entry that can't serve, in milliseconds. */
  private static final long NOT_SERVING_RETRY_MILLIS = 700;

  /** Time by which an answer under way may overrun before it is broken off. */
  private static final Duration OVERRUN = Duration.ofMillis(60);

  /** Upstreams to which no connection can be made that are tried for one request. */
  private static final int MAX_UNSENT = 4;

  /**
   * Share of the longest pause that is on time after which a silent stream goes on elsewhere; the
   * rest is for the other upstream to begin.
   */
  private static final double SILENCE_SHARE = 0.6;

  /** Connections of all entries together stay below the upstream's bound by this share. */
  private static final double CONNECTION_SHARE = 0.8;

  private final RelayView view;
  private final UpstreamPicker picker;
  private final ModelPolicy models;
  private final VersionRule versions;
  private final RetryBudget budget;
  private final VersionLedger counts;
  private final StopPlan stopPlan;
  private final RequestAdmission admission;
  private final Patience patience = new Patience();
  private final RequestTrace trace;
  private final UniformRandomProvider random;
  private double pressure;
  private final Map<Long, ActiveRelay> active = new LinkedHashMap<>();
  private final HeldRequests held = new HeldRequests();

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
    this(
        entry,
        new CostPicker(entry, settings.zone(), seed),
        new ConfidenceCascade(),
        new VersionRule(entry, settings.canaryShare()),
        new RetryBudget(settings.retryRatio()),
        counts,
        new StopPlan(settings.grace()),
        seed);
  }

  RelayRequestPart(
      RelayView view,
      UpstreamPicker picker,
      ModelPolicy models,
      VersionRule versions,
      RetryBudget budget,
      VersionLedger counts,
      StopPlan stopPlan,
      long seed) {
    this.view = view;
    this.stopPlan = stopPlan;
    this.admission = new RequestAdmission(view, stopPlan);
    this.trace = new RequestTrace(view);
    this.picker = picker;
    this.models = models;
    this.versions = versions;
    this.budget = budget;
    this.counts = counts;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
  }

  /** Returns how many requests are under way. */
  public int underWay() {
    return active.size();
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick) {
      tick(now, output);
    } else if (event instanceof LifecycleEvent.StopRequested) {
      stopPlan.stop(now);
    } else if (event instanceof RelayEvent.RequestArrived arrived) {
      arrived(arrived.request(), now, output);
    } else if (event instanceof RelayEvent.AnswerBegan began) {
      ActiveRelay relay = current(began.request(), began.attempt());
      if (relay != null) {
        answerBegan(relay, began, now, output);
      }
    } else if (event instanceof RelayEvent.AttemptFailed failed) {
      ActiveRelay relay = current(failed.request(), failed.attempt());
      if (relay != null) {
        attemptFailed(relay, failed, now, output);
      }
    } else if (event instanceof RelayEvent.AnswerSilent silent) {
      ActiveRelay relay = current(silent.request(), silent.attempt());
      if (relay != null) {
        answerSilent(relay, silent.lastEventId(), now, output);
      }
    } else if (event instanceof RelayEvent.AnswerEnded ended) {
      ActiveRelay relay = current(ended.request(), ended.attempt());
      if (relay != null) {
        end(relay);
        output.effect(new RelayEffect.Forget(relay.request.number()));
        trace.ended("done", relay, "attempts=" + relay.sent + " model=" + relay.model, now, output);
      }
    } else if (event instanceof RelayEvent.CallerLeft left) {
      callerLeft(left.request(), now, output);
    }
  }

  private @Nullable ActiveRelay current(long request, int attempt) {
    ActiveRelay relay = active.get(request);
    return relay != null && relay.attempt == attempt ? relay : null;
  }

  private void arrived(RelayRequest request, Instant now, Output output) {
    Refusal refusal = admission.refusal(request, now);
    if (refusal != Refusal.NOT_SERVING || !held.hold(request, now)) {
      decide(request, refusal, now, now, output);
    }
  }

  private void serveHeld(Instant now, Output output) {
    List<HeldRequest> released =
        held.release(request -> admission.refusal(request, now) != Refusal.NOT_SERVING, now);
    for (HeldRequest waited : released) {
      Refusal refusal = admission.refusal(waited.request(), now);
      decide(waited.request(), refusal, waited.arrivedAt(), now, output);
    }
  }

  private void decide(
      RelayRequest request,
      @Nullable Refusal refusal,
      Instant arrivedAt,
      Instant now,
      Output output) {
    if (refusal != null) {
      output.effect(new RelayEffect.Refuse(request.number(), refusal, retryAfter(refusal)));
      trace.refused(request, refusal, now, output);
      return;
    }
    RouteTable table = view.table();
    RelayRoute route = table.route(request.host(), request.path());
    RelayService service = route == null ? null : service(table, route);
    if (route == null || service == null) {
      throw new IllegalStateException("a request without refusal has a route and a service");
    }
    long wait =
        request.waitMillis() > 0
            ? Math.min(request.waitMillis(), route.timeoutMillis())
            : route.timeoutMillis();
    RelayTeam team = route.isPublic() ? null : table.team(request.key());
    ActiveRelay relay =
        new ActiveRelay(request, route, service, team, arrivedAt, arrivedAt.plusMillis(wait));
    if (!route.models().isEmpty()) {
      relay.model = models.first(route, request);
    }
    active.put(request.number(), relay);
    budget.requested(service.name(), now);
    send(relay, now, output);
  }

  private RelayService service(RouteTable table, RelayRoute route) {
    int total = route.services().stream().mapToInt(WeightedService::weight).sum();
    int drawn = random.nextInt(total);
    for (WeightedService target : route.services()) {
      drawn -= target.weight();
      RelayService service = table.service(target.service());
      if (drawn < 0 && service != null) {
        return service;
      }
    }
    throw new IllegalStateException("a valid route has a service");
  }

  private void send(ActiveRelay relay, Instant now, Output output) {
    long left = Duration.between(now, relay.deadline).toMillis();
    if (left <= 0) {
      giveUp(relay, relay.mayHaveRun ? Refusal.TIME_OUT : Refusal.TOO_LATE, now, output);
      return;
    }
    UpstreamTrack track = pick(relay, now);
    if (track == null) {
      giveUp(relay, unsent(relay), now, output);
      return;
    }
    relay.attempt++;
    relay.sent++;
    relay.upstream = track;
    relay.sentAt = now;
    relay.workMillis = picker.workMillis(relay.service, relay.request);
    track.began(relay.workMillis);
    output.effect(
        new RelayEffect.SendAttempt(
            relay.request.number(), relay.attempt, target(relay, track, left)));
    trace.sent(relay, track, now, output);
  }

  private @Nullable UpstreamTrack pick(ActiveRelay relay, Instant now) {
    String version = relay.version;
    VersionRule.Allowed allowed =
        version == null ? versions.allowed(relay.service.name(), relay.request) : version::equals;
    return picker.pick(relay.service, relay.request, allowed, relay.tried, now);
  }

  private AttemptTarget target(ActiveRelay relay, UpstreamTrack track, long left) {
    RelayTeam team = relay.team;
    Integer teamPriority = team == null ? null : team.priority();
    int connections = (int) (relay.service.maxConnections() * CONNECTION_SHARE / view.entries());
    return new AttemptTarget(
        track.instance(),
        Math.max(2, connections),
        team == null ? null : team.name(),
        relay.model < 0 ? null : relay.route.models().get(relay.model),
        relay.service.engine() == null
            ? null
            : teamPriority == null ? relay.route.priority() : teamPriority,
        left,
        relay.streams(),
        relay.lastEventId,
        relay.passing,
        relay.route.kind() == RouteKind.NON_IDEMPOTENT,
        relay.route.repeatable() ? (int) (relay.route.pauseMillis() * SILENCE_SHARE) : 0);
  }

  private static Refusal unsent(ActiveRelay relay) {
    return relay.mayHaveRun ? Refusal.OUTCOME_UNKNOWN : Refusal.NO_UPSTREAM;
  }

  private void answerBegan(
      ActiveRelay relay, RelayEvent.AnswerBegan began, Instant now, Output output) {
    UpstreamTrack track = relay.upstream;
    if (track == null) {
      return;
    }
    if (began.notRun() || began.status() == WRONG_RUN) {
      notRun(relay, track, began, now, output);
      return;
    }
    relay.mayHaveRun = true;
    track.answered(now);
    final long millis = Duration.between(relay.sentAt, now).toMillis();
    patience.waited(relay.route, relay.model, millis);
    if (began.status() >= FIRST_SERVER_ERROR) {
      serverFailed(relay, track, began, now, output);
      return;
    }
    trace.answered(relay, began.status(), now, output);
    track.succeeded();
    counts.answered(track.instance(), millis);
    notePressure(relay.route, millis);
    if (relay.passing) {
      output.effect(new RelayEffect.PassAnswer(relay.request.number(), relay.attempt));
      return;
    }
    if (relay.model >= 0 && askLarger(relay, began, now, output)) {
      return;
    }
    pass(relay, output);
  }

  private void notePressure(RelayRoute route, long firstByteMillis) {
    if (!route.models().isEmpty() && route.objectiveMillis() > 0) {
      double share = (double) firstByteMillis / route.objectiveMillis();
      pressure += PRESSURE_LEARNING * (share - pressure);
    }
  }

  private boolean askLarger(
      ActiveRelay relay, RelayEvent.AnswerBegan began, Instant now, Output output) {
    long used = Duration.between(relay.arrivedAt, now).toMillis();
    int larger = models.larger(relay.route, relay.model, began.confidence(), used, pressure);
    boolean allowed = larger >= 0 && relay.sent < relay.route.maxAttempts();
    if (!allowed || !budget.repeat(relay.service.name(), now)) {
      return false;
    }
    trace.larger(
        relay,
        "from=" + relay.model + " to=" + larger + " confidence=" + began.confidence(),
        now,
        output);
    drop(relay, output);
    relay.model = larger;
    send(relay, now, output);
    return true;
  }

  private void pass(ActiveRelay relay, Output output) {
    UpstreamTrack track = relay.upstream;
    relay.passing = true;
    relay.version = track == null ? null : track.instance().version();
    output.effect(new RelayEffect.PassAnswer(relay.request.number(), relay.attempt));
  }

  private void notRun(
      ActiveRelay relay,
      UpstreamTrack track,
      RelayEvent.AnswerBegan began,
      Instant now,
      Output output) {
    if (began.status() == WRONG_RUN) {
      track.answeredByOther();
    } else {
      track.failed(false, now);
    }
    trace.attemptEnded("not_run", relay, "status=" + began.status(), now, output);
    drop(relay, output);
    tryAgain(relay, now, output);
  }

  private void serverFailed(
      ActiveRelay relay,
      UpstreamTrack track,
      RelayEvent.AnswerBegan began,
      Instant now,
      Output output) {
    track.failed(false, now);
    counts.failed(track.instance());
    trace.attemptEnded("upstream_failed", relay, "status=" + began.status(), now, output);
    boolean again = relay.route.repeatable() && mayTryAgain(relay, now);
    if (relay.passing) {
      drop(relay, output);
      continueOrBreak(relay, again, now, output);
    } else if (again) {
      drop(relay, output);
      send(relay, now, output);
    } else {
      pass(relay, output);
    }
  }

  private void continueOrBreak(ActiveRelay relay, boolean again, Instant now, Output output) {
    if (again) {
      send(relay, now, output);
    } else {
      breakOff(relay, now, output);
    }
  }

  /** Decides whether one more attempt is allowed, and counts it if so. */
  private boolean mayTryAgain(ActiveRelay relay, Instant now) {
    return relay.sent < relay.route.maxAttempts()
        && now.isBefore(relay.deadline)
        && budget.repeat(relay.service.name(), now);
  }

  private void tryAgain(ActiveRelay relay, Instant now, Output output) {
    boolean safe = !relay.mayHaveRun || relay.route.repeatable();
    if (safe && mayTryAgain(relay, now)) {
      send(relay, now, output);
    } else if (relay.passing) {
      breakOff(relay, now, output);
    } else {
      giveUp(relay, unsent(relay), now, output);
    }
  }

  private void attemptFailed(
      ActiveRelay relay, RelayEvent.AttemptFailed failed, Instant now, Output output) {
    UpstreamTrack track = relay.upstream;
    if (track == null) {
      return;
    }
    boolean unsent = failed.failure() == AttemptFailure.NOT_SENT;
    if (failed.failure() != AttemptFailure.STALE_CONNECTION) {
      track.failed(unsent, now);
    }
    if (failed.failure().mayHaveRun()) {
      relay.mayHaveRun = true;
    }
    if (failed.failure().blamesVersion()) {
      counts.failed(track.instance());
    }
    if (failed.lastEventId() != null) {
      relay.lastEventId = failed.lastEventId();
    }
    trace.attemptEnded(
        "attempt_failed",
        relay,
        "how=" + failed.failure() + " after_event=" + relay.lastEventId,
        now,
        output);
    release(relay);
    if (unsent) {
      tryElsewhere(relay, now, output);
    } else {
      tryAgain(relay, now, output);
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
      sendOrBreak(relay, now, output);
    } else if (relay.passing) {
      breakOff(relay, now, output);
    } else {
      giveUp(relay, unsent(relay), now, output);
    }
  }

  private void sendOrBreak(ActiveRelay relay, Instant now, Output output) {
    if (relay.passing && pick(relay, now) == null) {
      breakOff(relay, now, output);
    } else {
      send(relay, now, output);
    }
  }

  /** Takes a stream that has begun from an upstream that has fallen silent. */
  private void answerSilent(
      ActiveRelay relay, @Nullable String lastEventId, Instant now, Output output) {
    if (lastEventId != null) {
      relay.lastEventId = lastEventId;
    }
    if (relay.passing) {
      moveOn(relay, "silent_stream", now, output);
    }
  }

  /** Looks whether an upstream keeps a request waiting for longer than is usual. */
  private void lookAtWait(ActiveRelay relay, Instant now, Output output) {
    double waited = Duration.between(relay.sentAt, now).toMillis();
    if (!relay.passing && patience.exhausted(relay.route, relay.model, waited)) {
      moveOn(relay, "silent", now, output);
    }
  }

  /**
   * Asks another upstream in place of a silent one, once for each request.
   *
   * <p>The attempt is dropped first, so that the two never work on it at once; that needs another
   * upstream and room in the budget, or the caller would lose an answer that may still come.
   */
  private void moveOn(ActiveRelay relay, String why, Instant now, Output output) {
    UpstreamTrack silent = relay.upstream;
    boolean possible = !relay.movedOn && silent != null && relay.route.repeatable();
    if (!possible || relay.sent >= relay.route.maxAttempts()) {
      return;
    }
    relay.movedOn = true;
    relay.tried.add(silent.instance().id());
    if (pick(relay, now) == null || !budget.repeat(relay.service.name(), now)) {
      return;
    }
    silent.failed(silent.silentSince(relay.sentAt), now);
    noteWait(relay, silent, now);
    trace.attemptEnded(why, relay, "after_event=" + relay.lastEventId, now, output);
    drop(relay, output);
    send(relay, now, output);
  }

  /**
   * Counts the time of an attempt that was not waited out as if the answer had begun now.
   *
   * <p>A new version has read no prompts yet and is slow at first. Counted as failures, the waits
   * that were given up had a good version rolled back.
   */
  private void noteWait(ActiveRelay relay, UpstreamTrack silent, Instant now) {
    if (!relay.passing) {
      long waited = Duration.between(relay.sentAt, now).toMillis();
      patience.waited(relay.route, relay.model, waited);
      counts.answered(silent.instance(), waited);
    }
  }

  private void tick(Instant now, Output output) {
    serveHeld(now, output);
    for (ActiveRelay relay : new ArrayList<>(active.values())) {
      if (now.isBefore(relay.deadline)) {
        lookAtWait(relay, now, output);
        continue;
      }
      if (!relay.passing) {
        drop(relay, output);
        giveUp(relay, relay.sent > 0 ? Refusal.TIME_OUT : Refusal.TOO_LATE, now, output);
      } else if (now.isAfter(relay.deadline.plus(OVERRUN))) {
        drop(relay, output);
        breakOff(relay, now, output);
      }
    }
  }

  private void callerLeft(long request, Instant now, Output output) {
    if (held.forget(request)) {
      output.effect(new RelayEffect.Forget(request));
    }
    ActiveRelay relay = active.get(request);
    if (relay != null) {
      drop(relay, output);
      end(relay);
      output.effect(new RelayEffect.Forget(request));
      trace.ended("caller_left", relay, "attempts=" + relay.sent, now, output);
    }
  }

  private void giveUp(ActiveRelay relay, Refusal refusal, Instant now, Output output) {
    end(relay);
    output.effect(new RelayEffect.Refuse(relay.request.number(), refusal, retryAfter(refusal)));
    trace.ended(
        "refused",
        relay,
        "why=" + refusal + " attempts=" + relay.sent + " may_have_run=" + relay.mayHaveRun,
        now,
        output);
  }

  private void breakOff(ActiveRelay relay, Instant now, Output output) {
    end(relay);
    output.effect(new RelayEffect.BreakOff(relay.request.number()));
    trace.ended(
        "broken_off",
        relay,
        "attempts=" + relay.sent + " after_event=" + relay.lastEventId,
        now,
        output);
  }

  private void drop(ActiveRelay relay, Output output) {
    if (relay.upstream != null) {
      output.effect(new RelayEffect.DropAttempt(relay.request.number(), relay.attempt));
      release(relay);
    }
  }

  private void release(ActiveRelay relay) {
    UpstreamTrack track = relay.upstream;
    if (track != null) {
      track.ended(relay.workMillis);
      relay.tried.add(track.instance().id());
      relay.upstream = null;
    }
  }

  private void end(ActiveRelay relay) {
    release(relay);
    active.remove(relay.request.number());
  }

  private static long retryAfter(Refusal refusal) {
    return switch (refusal) {
      case NOT_SERVING -> NOT_SERVING_RETRY_MILLIS;
      case NO_UPSTREAM -> RETRY_MILLIS;
      case STOPPING -> STOPPING_RETRY_MILLIS;
      case UNKNOWN_KEY, NO_ROUTE, TOO_LATE, OUTCOME_UNKNOWN, TIME_OUT -> 0;
    };
  }
}
