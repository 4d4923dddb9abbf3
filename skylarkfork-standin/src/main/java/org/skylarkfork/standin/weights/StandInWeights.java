package org.skylarkfork.standin.weights;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Clock;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.standin.StandIn;
import org.skylarkfork.standin.http.BoundServer;
import org.skylarkfork.standin.http.Exchange;
import org.skylarkfork.standin.http.OpenCalls;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** A weight store in this process. */
public final class StandInWeights implements StandIn {

  private static final int OK = 200;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;

  private final WeightsSettings settings;
  private final Clock clock;
  private final TokenBucket bucket;
  private final AtomicLong fetched = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private final OpenCalls openCalls = new OpenCalls();
  private volatile @Nullable BoundServer server;

  /**
   * Makes a weight store by the system's clock.
   *
   * @param settings its settings
   */
  public StandInWeights(WeightsSettings settings) {
    this(settings, Clock.systemUTC());
  }

  /**
   * Makes a weight store that listens to nothing before it is started.
   *
   * @param settings its settings
   * @param clock the time of the rate limit
   */
  public StandInWeights(WeightsSettings settings, Clock clock) {
    this.settings = settings;
    this.clock = clock;
    bucket = new TokenBucket(settings.fetchesPerSecond(), settings.burst(), clock.instant());
  }

  /** What stands for the weights of a version. */
  private record Weights(String model, String version) {}

  /** How many fetches were served and refused. */
  private record State(long fetched, long refused) {}

  @Override
  public String start() {
    server = BoundServer.bind(settings.host(), settings.port(), this::routes);
    Logger.info("weights: listens on {}", address());
    return address();
  }

  @Override
  public String address() {
    return Objects.requireNonNull(server, "Start the weight store first.").address();
  }

  @Override
  public CompletableFuture<Void> stop() {
    return openCalls.leave().thenRunAsync(this::close);
  }

  @Override
  public void close() {
    BoundServer bound = server;
    if (bound != null) {
      bound.close();
    }
  }

  private void routes(HttpServerRoutes routes) {
    routes
        .get("/v1/weights/{model}/{version}", (in, out) -> openCalls.track(() -> fetch(in, out)))
        .get(
            "/control/state",
            (in, out) -> Exchange.json(out, OK, new State(fetched.get(), refused.get())));
  }

  private Mono<Void> fetch(HttpServerRequest request, HttpServerResponse response) {
    if (openCalls.leaving()) {
      return Exchange.refuse(response, UNAVAILABLE, "Fetch from another store.", "leaving");
    }
    Duration pause = bucket.take(clock.instant());
    if (!pause.isZero()) {
      refused.incrementAndGet();
      response.header(HttpHeaderNames.RETRY_AFTER, Long.toString(wholeSeconds(pause)));
      return Exchange.refuse(response, TOO_MANY, "Fetch again later.", "rate_limited");
    }
    fetched.incrementAndGet();
    String model = Objects.requireNonNull(request.param("model"));
    String version = Objects.requireNonNull(request.param("version"));
    return Mono.delay(settings.fetchTime())
        .then(Mono.defer(() -> Exchange.json(response, OK, new Weights(model, version))));
  }

  private static long wholeSeconds(Duration pause) {
    return pause.plusSeconds(1).minusNanos(1).toSeconds();
  }
}
