package org.skylarkfork.standin.rating;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.standin.StandIn;
import org.skylarkfork.standin.http.BoundServer;
import org.skylarkfork.standin.http.Exchange;
import org.skylarkfork.standin.http.OpenCalls;
import org.skylarkfork.standin.text.Hash;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** A rating service in this process. */
public final class StandInRating implements StandIn {

  private static final int OK = 200;
  private static final int NO_CONTENT = 204;
  private static final int UNAVAILABLE = 503;

  private final RatingSettings settings;
  private final Scores scores;
  private final AtomicLong rated = new AtomicLong();
  private final AtomicLong skipped = new AtomicLong();
  private final AtomicLong missing = new AtomicLong();
  private final OpenCalls openCalls = new OpenCalls();
  private volatile @Nullable BoundServer server;

  /**
   * Makes a rating service that listens to nothing before it is started.
   *
   * @param settings its settings
   */
  public StandInRating(RatingSettings settings) {
    this.settings = settings;
    this.scores = new Scores(settings.qualities());
  }

  /** An answer to rate. */
  private record RatingBody(
      String requestId, String model, String version, String prompt, String answer) {

    private RatingBody {
      Objects.requireNonNull(requestId, "Send the requestId.");
      Objects.requireNonNull(model, "Send the model.");
      Objects.requireNonNull(version, "Send the version.");
      Objects.requireNonNull(prompt, "Send the prompt.");
      Objects.requireNonNull(answer, "Send the answer.");
    }

    private String modelKey() {
      return model + ":" + version;
    }
  }

  /** A rating. */
  private record Score(double score) {}

  /** How many answers were rated, skipped and left without a reply. */
  private record State(long rated, long skipped, long missing) {}

  @Override
  public String start() {
    server = BoundServer.bind(settings.host(), settings.port(), this::routes);
    Logger.info("rating: listens on {}", address());
    return address();
  }

  @Override
  public String address() {
    return Objects.requireNonNull(server, "Start the rating service first.").address();
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
        .post("/v1/ratings", (in, out) -> openCalls.track(() -> rate(in, out)))
        .get("/control/state", (in, out) -> Exchange.json(out, OK, state()));
  }

  private State state() {
    return new State(rated.get(), skipped.get(), missing.get());
  }

  private Mono<Void> rate(HttpServerRequest request, HttpServerResponse response) {
    if (openCalls.leaving()) {
      return Exchange.refuse(response, UNAVAILABLE, "Go on without a rating.", "leaving");
    }
    return Exchange.withBody(request, response, RatingBody.class, body -> answer(response, body));
  }

  private Mono<Void> answer(HttpServerResponse response, RatingBody body) {
    long key = Hash.of(settings.seed() + "\n" + body.requestId() + "\n" + body.modelKey());
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(key);
    if (random.nextDouble() < settings.missingShare()) {
      missing.incrementAndGet();
      return Mono.never();
    }
    if (random.nextDouble() < settings.skippedShare()) {
      skipped.incrementAndGet();
      return response.status(NO_CONTENT).send();
    }
    boolean late = random.nextDouble() < settings.lateShare();
    Duration time = late ? settings.latency().plus(settings.lateBy()) : settings.latency();
    double noise = settings.noise() * (2 * random.nextDouble() - 1);
    double score = scores.score(body.modelKey(), body.prompt(), body.answer(), noise);
    rated.incrementAndGet();
    return Mono.delay(time).then(Mono.defer(() -> Exchange.json(response, OK, new Score(score))));
  }
}
