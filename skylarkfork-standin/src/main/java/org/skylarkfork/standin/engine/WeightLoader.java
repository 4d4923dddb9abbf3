package org.skylarkfork.standin.engine;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Fetches the weights of a version, or lets the time of a fetch pass. */
final class WeightLoader {

  private static final int OK = 200;
  private static final int TOO_MANY = 429;
  private static final int MAX_ATTEMPTS = 20;

  private final @Nullable String store;
  private final Duration loadTime;
  private final Scheduler scheduler;
  private final HttpClient client = HttpClient.create();

  WeightLoader(@Nullable String store, Duration loadTime, Scheduler scheduler) {
    this.store = store;
    this.loadTime = loadTime;
    this.scheduler = scheduler;
  }

  /** Completes once the version is there; fails if the store does not give it. */
  Mono<Void> load(String model, String version) {
    if (store == null) {
      return Mono.delay(loadTime, scheduler).then();
    }
    String uri = "http://" + store + "/v1/weights/" + model + "/" + version;
    return fetch(uri, MAX_ATTEMPTS)
        .onErrorMap(
            error -> !(error instanceof LoadFailedException),
            error -> new LoadFailedException("Check the weight store: " + error));
  }

  private Mono<Void> fetch(String uri, int attempts) {
    return client
        .get()
        .uri(uri)
        .responseSingle(
            (response, content) -> content.then(Mono.fromSupplier(() -> pause(response))))
        .flatMap(pause -> retry(uri, attempts, pause));
  }

  private Mono<Void> retry(String uri, int attempts, Duration pause) {
    if (pause.isZero()) {
      return Mono.empty();
    }
    if (attempts <= 1) {
      return Mono.error(new LoadFailedException("Order fewer loads; the store refuses them."));
    }
    return Mono.delay(pause, scheduler).then(Mono.defer(() -> fetch(uri, attempts - 1)));
  }

  /** Gives zero for a success and the time to wait for a refusal. */
  private static Duration pause(HttpClientResponse response) {
    int status = response.status().code();
    if (status == OK) {
      return Duration.ZERO;
    }
    if (status != TOO_MANY) {
      throw new LoadFailedException("Name a version that the store has; status " + status + ".");
    }
    String seconds = response.responseHeaders().get(HttpHeaderNames.RETRY_AFTER, "1");
    return Duration.ofSeconds(Math.max(1, Long.parseLong(seconds.trim())));
  }
}
