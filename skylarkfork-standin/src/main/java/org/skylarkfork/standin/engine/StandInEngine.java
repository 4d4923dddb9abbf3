package org.skylarkfork.standin.engine;

import java.time.Clock;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.standin.StandIn;
import org.skylarkfork.standin.announce.Announcement;
import org.skylarkfork.standin.announce.Announcer;
import org.skylarkfork.standin.announce.CacheEvent;
import org.skylarkfork.standin.announce.LoadReport;
import org.skylarkfork.standin.announce.UpstreamKind;
import org.skylarkfork.standin.fault.Fault;
import org.skylarkfork.standin.fault.FaultKind;
import org.skylarkfork.standin.fault.Faults;
import org.skylarkfork.standin.http.BoundServer;
import org.skylarkfork.standin.http.Exchange;
import org.skylarkfork.standin.http.OpenCalls;
import org.skylarkfork.standin.http.RunLog;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** A model engine in this process that speaks the protocol of upstreams over HTTP. */
public final class StandInEngine implements StandIn {

  private static final int OK = 200;

  private final EngineSettings settings;
  private final long incarnation = Clock.systemUTC().millis();
  private final Scheduler scheduler;
  private final Faults faults;
  private final EngineCounters counters = new EngineCounters();
  private final RunLog runs = new RunLog();
  private final PrefixCache cache;
  private final LoadedModels models;
  private final BatchLoop loop;
  private final CompletionHandler completions;
  private final OrderHandler orders;
  private final OpenCalls openCalls = new OpenCalls();
  private final LoadReporter loads;
  private final UniformRandomProvider random;
  private final Announcer announcer;
  private volatile @Nullable BoundServer server;

  /**
   * Makes an engine that listens to nothing before it is started.
   *
   * @param settings its settings
   */
  public StandInEngine(EngineSettings settings) {
    this.settings = settings;
    scheduler = Schedulers.newSingle("standin-" + settings.id(), true);
    faults = new Faults(settings.seed());
    cache = new PrefixCache(settings.limits().cacheBlocks());
    models = new LoadedModels(settings.models(), settings.role());
    loop = new BatchLoop(scheduler, settings.speed(), settings.limits(), cache, faults, counters);
    completions =
        new CompletionHandler(settings.limits(), models, loop, faults, counters, runs, openCalls);
    WeightLoader weights =
        new WeightLoader(settings.weightStore(), settings.speed().loadTime(), scheduler);
    orders = new OrderHandler(settings.checksFencing(), models, weights, counters);
    loads = new LoadReporter(settings.reports().loadLag());
    random = RandomSource.XO_SHI_RO_256_PP.create(settings.seed());
    announcer = new Announcer(settings.announce(), this::announcement);
  }

  /** The request to end the work on a request. */
  private record CancelBody(@Nullable String requestId) {}

  /** How many jobs a cancel ended. */
  private record Cancelled(int cancelled) {}

  /** Which prefixes to move; those of all versions for an export without any. */
  private record KvBody(@Nullable List<String> prefixes) {}

  @Override
  public String start() {
    server = BoundServer.bind(settings.host(), settings.port(), this::routes);
    announcer.start();
    Logger.info("engine: {} listens on {}", settings.id(), address());
    return address();
  }

  @Override
  public String address() {
    return Objects.requireNonNull(server, "Start the engine first.").address();
  }

  /**
   * Puts a fault in force, as the control call does.
   *
   * @param fault the fault
   */
  public void fault(Fault fault) {
    faults.set(fault);
  }

  /**
   * Gives the counters and sizes, as the control call does.
   *
   * @return the present state
   */
  public EngineState state() {
    // Read before the places: a job leaves its place before it is counted, so that whoever sees the
    // count sees the place free as well.
    long finished = counters.finished().get();
    long cancelled = counters.cancelled().get();
    return new EngineState(
        settings.id(),
        loop.running(),
        loop.queued(),
        counters.started().get(),
        finished,
        cancelled,
        counters.refused().get(),
        counters.resumed().get(),
        counters.tokens().get(),
        counters.orders().get(),
        runs.report().doubles(),
        cache.contents().size(),
        models.present(),
        models.role(),
        faults.present());
  }

  /**
   * Gives the number of runs of a request.
   *
   * @param requestId the id of the request, as the entry gave it
   * @return the number, 0 if it never ran
   */
  public int runsOf(String requestId) {
    return runs.runsOf(requestId);
  }

  @Override
  public CompletableFuture<Void> stop() {
    return announcer.leave(openCalls.leave()).whenComplete((done, error) -> close());
  }

  @Override
  public void close() {
    announcer.close();
    BoundServer bound = server;
    if (bound != null) {
      bound.close();
    }
    scheduler.dispose();
  }

  private void routes(HttpServerRoutes routes) {
    routes
        .post("/v1/chat/completions", (in, out) -> completions.handle(in, out, AnswerFormat.CHAT))
        .post("/v1/completions", (in, out) -> completions.handle(in, out, AnswerFormat.PLAIN))
        .post("/v1/cancel", this::cancel)
        .post("/v1/orders", orders::handle)
        .post("/v1/kv/export", this::exportCache)
        .post("/v1/kv/import", this::importCache)
        .post("/control/fault", this::setFault)
        .get("/control/state", (in, out) -> Exchange.json(out, OK, state()))
        .get("/control/runs", (in, out) -> Exchange.json(out, OK, runs.report()));
  }

  private Mono<Void> cancel(HttpServerRequest request, HttpServerResponse response) {
    return Exchange.withBody(
        request,
        response,
        CancelBody.class,
        body ->
            loop.cancel(String.valueOf(body.requestId()))
                .flatMap(count -> Exchange.json(response, OK, new Cancelled(count))));
  }

  private Mono<Void> exportCache(HttpServerRequest request, HttpServerResponse response) {
    return Exchange.withBody(
        request,
        response,
        KvBody.class,
        body -> {
          List<String> held = cache.contents();
          List<String> wanted = body.prefixes() == null ? held : body.prefixes();
          List<String> found = wanted.stream().filter(held::contains).toList();
          return Exchange.json(response, OK, new KvBody(found));
        });
  }

  private Mono<Void> importCache(HttpServerRequest request, HttpServerResponse response) {
    return Exchange.withBody(
        request,
        response,
        KvBody.class,
        body -> {
          List<String> prefixes = body.prefixes() == null ? List.of() : body.prefixes();
          prefixes.forEach(cache::store);
          return Exchange.json(response, OK, new KvBody(prefixes));
        });
  }

  private Mono<Void> setFault(HttpServerRequest request, HttpServerResponse response) {
    return Exchange.withBody(
        request,
        response,
        Fault.class,
        fault -> {
          faults.set(fault);
          return Exchange.json(response, OK, faults.present());
        });
  }

  private Optional<Announcement> announcement() {
    if (faults.active(FaultKind.SILENCE)) {
      return Optional.empty();
    }
    LoadReport load =
        loads.report(loop.running(), loop.queued(), cache.used(), Clock.systemUTC().instant());
    return Optional.of(
        new Announcement(
            Announcement.PROTOCOL,
            settings.id(),
            incarnation,
            address(),
            settings.zone(),
            UpstreamKind.ENGINE,
            null,
            models.present(),
            models.role(),
            settings.limits().capacity(),
            load,
            settings.checksFencing(),
            openCalls.leaving() || faults.active(FaultKind.LEAVING),
            false,
            reportedEvents()));
  }

  private synchronized List<CacheEvent> reportedEvents() {
    double loss = settings.reports().cacheEventLoss();
    return cache.drainEvents().stream().filter(event -> random.nextDouble() >= loss).toList();
  }
}
