package org.skylarkfork.standin.measure;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.HdrHistogram.Histogram;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Measures what the path through a daemon adds to calling an upstream directly.
 *
 * <p>Daemon and upstreams run as processes of their own; {@code bin/measure-path} starts them.
 * Calls of both ways take turns in one run, so that the machine's load strikes both alike.
 */
public final class PathMeasure {

  private static final int WARM_UP = 1500;
  private static final int CALLS = 4000;
  private static final int AT_ONCE = 64;
  private static final int THROUGHPUT_CALLS = 40_000;
  private static final long HIGHEST_MICROS = 60_000_000;
  private static final int DIGITS = 3;
  private static final double TICKS_PER_SECOND = 100;
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final HttpClient client =
      HttpClient.create(ConnectionProvider.create("path", AT_ONCE)).disableRetry(true);
  private final String key;
  private final Path processStat;

  private PathMeasure(String key, String daemonPid) {
    this.key = key;
    this.processStat = Path.of("/proc", daemonPid, "stat");
  }

  /**
   * Runs the measurement and prints a JSON line for each kind of request.
   *
   * @param arguments address of the entry, of the service and of the engine, the team's key and the
   *     daemon's process id
   */
  public static void main(String[] arguments) throws IOException {
    PathMeasure measure = new PathMeasure(arguments[3], arguments[4]);
    String entry = "http://" + arguments[0];
    measure.compare(
        "lookup",
        new Call(HttpMethod.GET, "http://" + arguments[1] + "/chips/1", ""),
        new Call(HttpMethod.GET, entry + "/services/register/chips/1", ""));
    measure.compare(
        "draft", draft("http://" + arguments[2], "ruling-small:2"), draft(entry, "ruling-small"));
  }

  private static Call draft(String base, String model) {
    String body =
        "{\"model\":\""
            + model
            + "\",\"prompt\":\"Explain rule 7.\",\"max_tokens\":16,"
            + "\"stream\":true}";
    return new Call(HttpMethod.POST, base + "/v1/completions", body);
  }

  private void compare(String kind, Call direct, Call path) throws IOException {
    for (int i = 0; i < WARM_UP; i++) {
      timed(direct);
      timed(path);
    }
    Histogram directMicros = new Histogram(HIGHEST_MICROS, DIGITS);
    Histogram pathMicros = new Histogram(HIGHEST_MICROS, DIGITS);
    for (int i = 0; i < CALLS; i++) {
      directMicros.recordValue(timed(direct));
      pathMicros.recordValue(timed(path));
    }
    double cpuBefore = daemonCpuSeconds();
    long start = System.nanoTime();
    burst(path);
    double seconds = (System.nanoTime() - start) / 1e9;
    double cpu = daemonCpuSeconds() - cpuBefore;
    System.out.printf(
        "{\"kind\":\"%s\",\"direct\":%s,\"path\":%s,\"medianRatio\":%.2f,\"p99Ratio\":%.2f,"
            + "\"requestsPerSecond\":%.0f,\"daemonCores\":%.2f,\"requestsPerCoreSecond\":%.0f}%n",
        kind,
        text(directMicros),
        text(pathMicros),
        ratio(pathMicros, directMicros, 50),
        ratio(pathMicros, directMicros, 99),
        THROUGHPUT_CALLS / seconds,
        cpu / seconds,
        THROUGHPUT_CALLS / cpu);
  }

  private static String text(Histogram micros) {
    return String.format(
        "{\"p50Micros\":%d,\"p99Micros\":%d}",
        micros.getValueAtPercentile(50), micros.getValueAtPercentile(99));
  }

  private static double ratio(Histogram one, Histogram other, double percentile) {
    return one.getValueAtPercentile(percentile) / (double) other.getValueAtPercentile(percentile);
  }

  private long timed(Call call) {
    long start = System.nanoTime();
    send(call).block(TIMEOUT);
    return (System.nanoTime() - start) / 1000;
  }

  private void burst(Call call) {
    Flux.range(0, THROUGHPUT_CALLS).flatMap(number -> send(call), AT_ONCE).blockLast();
  }

  private Mono<Integer> send(Call call) {
    byte[] body = call.body().getBytes(StandardCharsets.UTF_8);
    return client
        .headers(
            headers -> {
              headers.set("Authorization", "Bearer " + key);
              headers.set("Content-Length", body.length);
            })
        .request(call.method())
        .uri(call.uri())
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
        .responseSingle(
            (response, content) ->
                content
                    .asByteArray()
                    .defaultIfEmpty(new byte[0])
                    .map(bytes -> checked(response.status().code())));
  }

  private static int checked(int status) {
    if (status != 200) {
      throw new IllegalStateException("a call was answered with status " + status);
    }
    return status;
  }

  /** Reads the daemon's user and system time, in ticks of a hundredth of a second. */
  private double daemonCpuSeconds() throws IOException {
    String stat = Files.readString(processStat);
    List<String> fields = List.of(stat.substring(stat.lastIndexOf(')') + 2).split(" "));
    return (Long.parseLong(fields.get(11)) + Long.parseLong(fields.get(12))) / TICKS_PER_SECOND;
  }

  private record Call(HttpMethod method, String uri, String body) {}
}
