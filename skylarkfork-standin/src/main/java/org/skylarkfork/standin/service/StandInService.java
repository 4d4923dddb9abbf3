package org.skylarkfork.standin.service;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.standin.StandIn;
import org.skylarkfork.standin.announce.Announcement;
import org.skylarkfork.standin.announce.Announcer;
import org.skylarkfork.standin.announce.EngineRole;
import org.skylarkfork.standin.announce.LoadReport;
import org.skylarkfork.standin.announce.UpstreamKind;
import org.skylarkfork.standin.fault.Fault;
import org.skylarkfork.standin.fault.FaultKind;
import org.skylarkfork.standin.fault.Faults;
import org.skylarkfork.standin.http.BoundServer;
import org.skylarkfork.standin.http.Exchange;
import org.skylarkfork.standin.http.Headers;
import org.skylarkfork.standin.http.OpenCalls;
import org.skylarkfork.standin.http.RunLog;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** A plain service in this process; it counts the runs of each request, so that doubles show. */
public final class StandInService implements StandIn {

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final ServiceSettings settings;
  private final long incarnation = Clock.systemUTC().millis();
  private final Faults faults;
  private final RunLog runs = new RunLog();
  private final OpenCalls openCalls = new OpenCalls();
  private final AtomicLong serial = new AtomicLong();
  private final Announcer announcer;
  private volatile @Nullable BoundServer server;

  /**
   * Makes a service that listens to nothing before it is started.
   *
   * @param settings its settings
   */
  public StandInService(ServiceSettings settings) {
    this.settings = settings;
    faults = new Faults(settings.seed());
    announcer = new Announcer(settings.announce(), this::announcement);
  }

  @Override
  public String start() {
    server = BoundServer.bind(settings.host(), settings.port(), this::routes);
    announcer.start();
    Logger.info("service: {} listens on {}", settings.id(), address());
    return address();
  }

  @Override
  public String address() {
    return Objects.requireNonNull(server, "Start the service first.").address();
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
   * Reports the runs, as the control call does.
   *
   * @return the number of runs and the doubles
   */
  public RunLog.Report runs() {
    return runs.report();
  }

  /**
   * Gives the number of runs of a request.
   *
   * @param key the caller's idempotency key, or the request id of a call without one
   * @return the number, 0 if it never ran
   */
  public int runsOf(String key) {
    return runs.runsOf(key);
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
  }

  private void routes(HttpServerRoutes routes) {
    routes
        .post("/control/fault", this::setFault)
        .get("/control/runs", (in, out) -> Exchange.json(out, OK, runs.report()))
        .route(request -> true, (in, out) -> openCalls.track(() -> call(in, out)));
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

  private Mono<Void> call(HttpServerRequest request, HttpServerResponse response) {
    String requestId = Exchange.text(request, Headers.REQUEST_ID, "none");
    response.header(Headers.REQUEST_ID, requestId);
    Double rateLimit = settings.rateLimit();
    if (rateLimit != null) {
      response.header(Headers.RATE_LIMIT, rateLimit.toString());
    }
    if (refuses(requestId)) {
      return Exchange.refuse(response, UNAVAILABLE, "Ask another upstream.", "not_taken");
    }
    return Exchange.body(request).flatMap(body -> run(request, response, requestId, body));
  }

  private boolean refuses(String requestId) {
    return openCalls.leaving()
        || openCalls.open() > settings.capacity()
        || faults.active(FaultKind.LEAVING)
        || strikes(FaultKind.FULL, requestId);
  }

  private Mono<Void> run(
      HttpServerRequest request, HttpServerResponse response, String requestId, String body) {
    final int count = runs.record(Exchange.text(request, Headers.IDEMPOTENCY_KEY, requestId));
    if (strikes(FaultKind.SILENCE, requestId)) {
      return Mono.never();
    }
    String crashOn = settings.crashOn();
    if (crashOn != null && body.contains(crashOn)) {
      return crash(requestId);
    }
    faults
        .secondAnswer(settings.service(), requestId)
        .ifPresent(plan -> Exchange.answerTwice(response, plan));
    Echo echo =
        new Echo(
            settings.service(),
            settings.id(),
            request.method().name(),
            request.uri(),
            answeredId(response, requestId),
            body,
            count,
            serial.incrementAndGet());
    return Mono.delay(latency(requestId)).then(Mono.defer(() -> send(response, requestId, echo)));
  }

  /** Ends as a process that crashes: no answer, no connection, no announcement any more. */
  private Mono<Void> crash(String requestId) {
    Logger.warn("service: {} ends under {}", settings.id(), requestId);
    // The connections' own thread must not wait for its end.
    CompletableFuture.runAsync(this::close);
    return Mono.never();
  }

  private String answeredId(HttpServerResponse response, String requestId) {
    if (!strikes(FaultKind.CROSSED_ANSWERS, requestId)) {
      return requestId;
    }
    String other = "other-" + requestId;
    response.header(Headers.REQUEST_ID, other);
    return other;
  }

  private Duration latency(String requestId) {
    Duration late =
        strikes(FaultKind.LATE_ANSWERS, requestId)
            ? faults.delay(FaultKind.LATE_ANSWERS)
            : Duration.ZERO;
    return settings.latency().plus(late).plus(faults.delay(FaultKind.SLOW));
  }

  private Mono<Void> send(HttpServerResponse response, String requestId, Echo echo) {
    if (strikes(FaultKind.UNFRAMED_ANSWERS, requestId)) {
      return Exchange.unframed(response, echo);
    }
    if (!strikes(FaultKind.CUT_STREAM, requestId)) {
      return Exchange.json(response, OK, echo);
    }
    return Exchange.half(response, echo);
  }

  private boolean strikes(FaultKind kind, String requestId) {
    return faults.strikes(kind, settings.service(), requestId);
  }

  private Optional<Announcement> announcement() {
    if (faults.active(FaultKind.SILENCE)) {
      return Optional.empty();
    }
    return Optional.of(
        new Announcement(
            Announcement.PROTOCOL,
            settings.id(),
            incarnation,
            address(),
            settings.zone(),
            UpstreamKind.SERVICE,
            settings.service(),
            List.of(),
            EngineRole.MIXED,
            settings.capacity(),
            new LoadReport(openCalls.open(), 0, 0, 0),
            false,
            openCalls.leaving() || faults.active(FaultKind.LEAVING),
            false,
            List.of()));
  }
}
