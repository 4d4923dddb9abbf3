package org.skylarkfork.standin.measure.daemon;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.event.CallerEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.standin.measure.VirtualTime;

/** One run of a deployment's load on one daemon with a policy and faults. */
public final class Run {

  private static final long TICK_MICROS = Reducer.TICK.toNanos() / 1_000;
  private static final long NETWORK_MICROS = 500;
  private static final long REPORT_MICROS = 1_000_000;
  private static final long REPORT_LAG_MICROS = 400_000;
  private static final long DRAIN_SECONDS = 40;

  private final Deployment deployment;
  private final Policy policy;
  private final Set<FaultKind> faults;
  private final VirtualTime time = new VirtualTime(Arrivals.BEGIN);
  private final Scores scores = new Scores();
  private final Truth truth;
  private final List<Ask> asks;
  private final Surroundings around;
  private final FakeConfiguration configuration;
  private final FakeGroup group;
  private final MeasuredDaemon daemon;
  private final FakeRating rating;
  private final Map<String, FakeEngine> engines = new TreeMap<>();
  private final Map<String, FakeService> services = new TreeMap<>();
  private final Set<String> exposedRequests = new HashSet<>();
  private final Set<String> exposedSessions = new HashSet<>();
  private final int[] exposedBySecond = new int[Deployment.SECONDS + 1];
  private final List<String> verdicts = new ArrayList<>();
  private int sentToWithdrawn;

  /**
   * Prepares a run.
   *
   * @param seed seed of the load, the faults and the answers, the same for each policy compared
   */
  public Run(Deployment deployment, Policy policy, Set<FaultKind> faults, long seed) {
    this.deployment = deployment;
    this.policy = policy;
    this.faults = faults;
    truth = new Truth(seed, faults);
    asks = Arrivals.of(deployment, seed);
    around =
        new Surroundings(
            time, RandomSource.XO_SHI_RO_256_PP.create(seed + 1), this::tell, truth, scores, asks);
    configuration = new FakeConfiguration(MeasuredConfiguration.begin());
    group = new FakeGroup(time, this::tell);
    daemon = new MeasuredDaemon(deployment, policy, configuration, group, seed);
    rating =
        new FakeRating(
            time, RandomSource.XO_SHI_RO_256_PP.create(seed + 2), this::tell, around.ratings());
    deployment.engines().forEach(spec -> engines.put(spec.id(), new FakeEngine(spec, around)));
    deployment.services().forEach(spec -> services.put(spec.id(), new FakeService(spec, around)));
  }

  /** Runs all and returns the figures. */
  public Figures run() {
    tell(new LifecycleEvent.Started());
    List<FakeUpstream> upstreams = new ArrayList<>(engines.values());
    upstreams.addAll(services.values());
    for (FakeUpstream upstream : upstreams) {
      tell(new UpstreamEvent.Announced(upstream.announcement()));
      time.after(around.random().nextLong(REPORT_MICROS), () -> report(upstream));
    }
    time.after(TICK_MICROS, this::tick);
    for (Ask ask : asks) {
      time.after(ask.atMicros(), () -> tell(new CallerEvent.RequestReceived(ask.request())));
    }
    new FaultPlan(faults, time, configuration, this::tell, engines, services, rating).plan();
    time.runUntil(Arrivals.BEGIN.plusSeconds(Deployment.SECONDS + DRAIN_SECONDS));
    FigureReader reader = new FigureReader(deployment, asks, scores, truth);
    return reader.read(
        policy.name(),
        faults,
        verdicts,
        new FigureReader.Exposure(
            exposedRequests.size(), exposedSessions.size(), sentToWithdrawn, exposedBySecond),
        daemon.ledger().billed(),
        group);
  }

  private void tick() {
    tell(new LifecycleEvent.Tick());
    time.after(TICK_MICROS, this::tick);
  }

  /** An announcement tells the load of some time ago. */
  private void report(FakeUpstream upstream) {
    upstream.lookAtLoad();
    time.after(
        REPORT_LAG_MICROS,
        () -> {
          if (!upstream.faults().gone) {
            tell(new UpstreamEvent.Announced(upstream.announcement()));
          }
        });
    time.after(REPORT_MICROS, () -> report(upstream));
  }

  private void tell(Event event) {
    for (Effect effect : daemon.apply(event, time.now())) {
      if (effect instanceof CallerEffect toCaller) {
        toCaller(toCaller);
      } else if (effect instanceof UpstreamEffect toUpstream) {
        toUpstream(toUpstream);
      } else if (effect instanceof TraceEffect.LogLine line && line.part().equals("quality")) {
        verdicts.add(line.sentence());
      }
    }
  }

  private void toCaller(CallerEffect effect) {
    Configuration current = configuration.current();
    boolean last =
        scores.sent(around.ask(effect.requestId()), effect, micros(), current::isWithdrawn);
    if (last) {
      CallerEvent delivered = new CallerEvent.AnswerDelivered(effect.requestId());
      time.after(NETWORK_MICROS, () -> tell(delivered));
    }
  }

  private void toUpstream(UpstreamEffect effect) {
    if (effect instanceof UpstreamEffect.DispatchDraft draft) {
      expose(draft);
      if (configuration.current().isWithdrawn(draft.version())) {
        sentToWithdrawn++;
      }
      time.after(NETWORK_MICROS, () -> engines.get(draft.upstream()).dispatch(draft));
    } else if (effect instanceof UpstreamEffect.DispatchCall call) {
      time.after(NETWORK_MICROS, () -> services.get(call.upstream()).dispatch(call));
    } else if (effect instanceof UpstreamEffect.CancelAttempt cancel) {
      time.after(NETWORK_MICROS, () -> cancel(cancel.attemptId()));
    } else if (effect instanceof UpstreamEffect.RequestRating asked) {
      rating.rate(asked);
    }
  }

  private void cancel(String attemptId) {
    engines.values().forEach(engine -> engine.cancel(attemptId));
    services.values().forEach(service -> service.cancel(attemptId));
  }

  private void expose(UpstreamEffect.DispatchDraft draft) {
    double second = around.second();
    if (!truth.isBad(draft.version(), second)) {
      return;
    }
    if (exposedRequests.add(draft.request().requestId())) {
      exposedBySecond[(int) Math.min(Deployment.SECONDS, second)]++;
    }
    if (draft.request().session() != null) {
      exposedSessions.add(draft.request().session());
    }
  }

  private long micros() {
    return (time.now().getEpochSecond() - Arrivals.BEGIN.getEpochSecond()) * 1_000_000
        + time.now().getNano() / 1_000;
  }
}
