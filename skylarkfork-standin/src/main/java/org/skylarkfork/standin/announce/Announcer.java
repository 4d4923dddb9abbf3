package org.skylarkfork.standin.announce;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.standin.http.Json;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;

/** Posts announcements to one entry at a time and goes to the next when it fails. */
public final class Announcer implements AutoCloseable {

  private static final String PATH = "/v1/upstreams";
  private static final int OK = 200;

  private final AnnouncerSettings settings;
  private final Supplier<Optional<Announcement>> announcements;
  private final HttpClient client;
  private int nextEntry;
  private volatile boolean leaving;
  private @Nullable Disposable heartbeat;

  /** An entry's answer; it may say when the next announcement is due. */
  private record Taken(@Nullable Long nextMillis) {}

  /**
   * Makes an announcer that posts nothing before it is started.
   *
   * @param settings where and how often to announce
   * @param announcements gives the present announcement, or empty to miss a heartbeat
   */
  public Announcer(AnnouncerSettings settings, Supplier<Optional<Announcement>> announcements) {
    this.settings = settings;
    this.announcements = announcements;
    this.client = HttpClient.create();
  }

  /** Posts the first announcement at once and repeats it as a heartbeat. */
  public synchronized void start() {
    if (settings.entries().isEmpty() || heartbeat != null) {
      return;
    }
    heartbeat = Mono.defer(() -> post(false)).flatMap(Mono::delay).repeat().subscribe();
  }

  /**
   * Announces leaving, keeps the heartbeat up until running work has finished and then says that
   * the upstream is gone.
   *
   * @param idle completes once no work runs any more
   * @return completes once the last announcement was posted or could not be
   */
  public CompletableFuture<Void> leave(CompletionStage<?> idle) {
    leaving = true;
    return post(false)
        .then(Mono.fromCompletionStage(idle))
        .then(Mono.fromRunnable(this::close))
        .then(Mono.defer(() -> post(true)))
        .then()
        // Servers are closed next, and closing blocks, which the thread of a connection must not.
        .publishOn(Schedulers.boundedElastic())
        .toFuture();
  }

  /** Ends the heartbeat without a word, as a crash would. */
  @Override
  public synchronized void close() {
    if (heartbeat != null) {
      heartbeat.dispose();
    }
  }

  /** Gives the time until the next announcement is due. */
  private Mono<Duration> post(boolean gone) {
    Optional<Announcement> present = announcements.get();
    if (present.isEmpty() || settings.entries().isEmpty()) {
      return Mono.just(settings.interval());
    }
    Announcement announcement = leaving ? present.get().asLeaving(gone) : present.get();
    return postToAny(Json.write(announcement), settings.entries().size());
  }

  private Mono<Duration> postToAny(String body, int attempts) {
    if (attempts == 0) {
      Logger.warn("announcer: no entry took the announcement");
      return Mono.just(settings.interval());
    }
    String entry = presentEntry();
    return postTo(entry, body)
        .timeout(settings.timeout())
        .onErrorResume(
            error -> {
              Logger.info("announcer: entry {} failed: {}", entry, error.toString());
              skipEntry();
              return postToAny(body, attempts - 1);
            });
  }

  private Mono<Duration> postTo(String entry, String body) {
    return client
        .headers(
            headers -> headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON))
        .post()
        .uri("http://" + entry + PATH)
        .send(ByteBufMono.fromString(Mono.just(body)))
        .responseSingle(
            (response, content) ->
                content
                    .asString()
                    .defaultIfEmpty("")
                    .flatMap(text -> pause(response.status().code(), text)));
  }

  private Mono<Duration> pause(int status, String text) {
    if (status == OK) {
      Long millis = Json.read(text, Taken.class).nextMillis();
      return Mono.just(
          millis == null ? settings.interval() : Duration.ofMillis(Math.max(1, millis)));
    }
    return Mono.error(
        new IllegalStateException("Correct the announcement; status " + status + ": " + text));
  }

  private synchronized String presentEntry() {
    List<String> entries = settings.entries();
    return entries.get(Math.floorMod(nextEntry, entries.size()));
  }

  private synchronized void skipEntry() {
    nextEntry++;
  }
}
