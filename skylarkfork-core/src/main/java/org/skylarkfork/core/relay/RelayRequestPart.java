package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
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

  /**
   * Longest wait of a request for this entry to be able to serve. A restart of everything takes two
   * seconds, and the entries are up a second before the control VMs; an engine answers in 0.2 s, so
   * that a stream that waited this long is still in time.
   */
  private static final Duration LONGEST_HOLD = Duration.ofMillis(900);

  private static final int MAX_HELD = 512;

  /** Weight of one answer in the pressure: the newest 20 count most, about a second's at a peak. */
  private static final double PRESSURE_LEARNING = 0.05;

  /** When to come back, to another entry, in milliseconds. */
  private static final long STOPPING_RETRY_MILLIS = 10;

  /** When to come back to an entry that can't serve, in milliseconds. */
  private static final long NOT_SERVING_RETRY_MILLIS = 700;

  /** Time by which an answer under way may overrun before it is broken off. */
  private static final Duration OVERRUN = Duration.ofMillis(60);

  /** Connections of all entries together stay below the upstream's bound by this share. */
  private static final double CONNECTION_SHARE = 0.8;

  private final RelayView view;
  private final UpstreamPicker picker;
  private final ModelPolicy models;
  private final VersionRule versions;
  private final RetryBudget budget;
  private final VersionLedger counts;
  private final StopPlan stopPlan;
  private final RequestTrace trace;
  private final UniformRandomProvider random;
  private double pressure;
  private final Map<Long, ActiveRelay> active = new LinkedHashMap<>();
  private final Map<Long, HeldRequest> held = new LinkedHashMap<>();

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
    Refusal refusal = refusal(request, now);
    if (refusal == Refusal.NOT_SERVING && held.size() < MAX_HELD) {
      held.put(request.number(), new HeldRequest(request, now));
    } else {
      decide(request, refusal, now, now, output);
    }
  }

  /**
   * Goes on with requests that came before this entry could serve.
   *
   * <p>An entry that has just started, or a core that elects, is ready again within a second; a
   * caller that is refused instead comes back once at most and finds the same.
   */
  private void serveHeld(Instant now, Output output) {
    if (held.isEmpty()) {
      return;
    }
    for (HeldRequest waiting : new ArrayList<>(held.values())) {
      Refusal refusal = refusal(waiting.request(), now);
      boolean tooLong = !now.isBefore(waiting.arrivedAt().plus(LONGEST_HOLD));
      if (refusal != Refusal.NOT_SERVING || tooLong) {
        held.remove(waiting.request().number());
        decide(waiting.request(), refusal, waiting.arrivedAt(), now, output);
      }
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

  private @Nullable Refusal refusal(RelayRequest request, Instant now) {
    RouteTable table = view.table();
    if (!view.configured()) {
      return Refusal.NOT_SERVING;
    }
    RelayRoute route = table.route(request.host(), request.path());
    boolean proven = view.proven(now);
    if (route != null && !stopPlan.takes(route, now)) {
      return Refusal.STOPPING;
    }
    if (route == null) {
      return proven ? Refusal.NO_ROUTE : Refusal.NOT_SERVING;
    }
    if (!route.isPublic() && table.keyed()) {
      if (!proven) {
        return Refusal.NOT_SERVING;
      }
      if (table.team(request.key()) == null) {
        return Refusal.UNKNOWN_KEY;
      }
    }
    return null;
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
    String version = relay.version;
    VersionRule.Allowed allowed =
        version == null ? versions.allowed(relay.service.name(), relay.request) : version::equals;
    UpstreamTrack track = picker.pick(relay.service, relay.request, allowed, relay.tried, now);
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
        relay.route.kind() == RouteKind.NON_IDEMPOTENT);
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
    final long millis = Duration.between(relay.sentAt, now).toMillis();
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
    boolean hard = failed.failure() == AttemptFailure.NOT_SENT;
    track.failed(hard, now);
    if (failed.failure().mayHaveRun()) {
      relay.mayHaveRun = true;
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
    tryAgain(relay, now, output);
  }

  private void tick(Instant now, Output output) {
    serveHeld(now, output);
    for (ActiveRelay relay : new ArrayList<>(active.values())) {
      if (now.isBefore(relay.deadline)) {
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
    if (held.remove(request) != null) {
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
