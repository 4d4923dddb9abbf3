package org.skylarkfork.daemon.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.RelayResult;
import org.skylarkfork.core.relay.RelayConfiguration;
import org.skylarkfork.core.relay.RelayLimits;
import org.skylarkfork.core.relay.RelayRoute;
import org.skylarkfork.core.relay.RelayService;
import org.skylarkfork.core.relay.RelayTeam;
import org.skylarkfork.core.relay.RouteKind;
import org.skylarkfork.core.relay.UpstreamInstance;
import org.skylarkfork.core.relay.WeightedService;
import org.skylarkfork.core.rollout.RollOutPhase;
import org.skylarkfork.core.rollout.ServiceRollOut;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.relay.RelayAdmin;

/** Operators and upstreams at the control VMs' calls. */
final class SoakOperator {

  /** Key that each configuration has. */
  static final String LASTING_KEY = "lasting";

  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /** Time after which a control VM is silent that is asked for its group. */
  private static final Duration SILENT = Duration.ofMillis(500);

  private static final String SERVICE = "service";
  private static final int OK = 200;

  /** More than the upstreams of the old version, so that a request comes to one of them again. */
  private static final int MAX_ATTEMPTS = 4;

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private final Codec codec = new Codec();
  private final List<Integer> ports;
  private final List<String> findings;
  private final List<Accepted> accepted = new CopyOnWriteArrayList<>();
  private long version;

  /**
   * A configuration that was accepted.
   *
   * @param version its version
   * @param at when the answer came
   */
  record Accepted(long version, Instant at) {}

  /**
   * Makes an operator.
   *
   * @param ports ports of the control VMs' calls
   * @param findings takes what must not be
   */
  SoakOperator(List<Integer> ports, List<String> findings) {
    this.ports = ports;
    this.findings = findings;
  }

  /** Returns the key of a version, which the next version takes away. */
  static String key(long ofVersion) {
    return "key-" + ofVersion;
  }

  /** Returns the newest version that was sent. */
  synchronized long newest() {
    return version;
  }

  List<Accepted> accepted() {
    return List.copyOf(accepted);
  }

  long acceptedVersion() {
    return accepted.stream().mapToLong(Accepted::version).max().orElse(0);
  }

  /** Sends the next configuration to one control VM. */
  void put(int control) throws InterruptedException {
    long next;
    synchronized (this) {
      version++;
      next = version;
    }
    if (call("PUT", control, "configuration", codec.toJson(configuration(next))) != null) {
      accepted.add(new Accepted(next, Instant.now()));
    }
  }

  /** Reads the configuration at one control VM and compares it with what was accepted before. */
  long read(int control) throws InterruptedException {
    long before = acceptedVersion();
    String text = call("GET", control, "configuration", "");
    if (text == null) {
      return 0;
    }
    long found = codec.fromJson(text, RelayConfiguration.class).version();
    if (found < before) {
      findings.add("version " + found + " was read after " + before + " had been accepted");
    }
    return found;
  }

  /** Returns what each control VM says of the group, in their order; null where one is silent. */
  List<RelayAdmin.@Nullable Group> groups() {
    List<CompletableFuture<RelayAdmin.@Nullable Group>> asked = new ArrayList<>();
    for (int control = 0; control < ports.size(); control++) {
      HttpRequest request = request("GET", control, "group", "", SILENT);
      asked.add(
          client
              .sendAsync(request, HttpResponse.BodyHandlers.ofString())
              .handle((answer, failure) -> failure == null ? group(answer) : null));
    }
    return asked.stream().<RelayAdmin.@Nullable Group>map(CompletableFuture::join).toList();
  }

  private RelayAdmin.@Nullable Group group(HttpResponse<String> answer) {
    return answer.statusCode() == OK ? codec.fromJson(answer.body(), RelayAdmin.Group.class) : null;
  }

  /** Orders a roll-out at one control VM; returns whether it was acknowledged. */
  boolean beginRollOut(int control, String target, Duration deadline) throws InterruptedException {
    RelayAdmin.RollOutOrder order = new RelayAdmin.RollOutOrder(target, deadline.toMillis());
    return call("PUT", control, "roll-outs/" + SERVICE, codec.toJson(order)) != null;
  }

  /** Reads the phase of the roll-out at one control VM; null if it doesn't answer. */
  @Nullable RollOutPhase rollOutPhase(int control) throws InterruptedException {
    String text = call("GET", control, "roll-outs/" + SERVICE, "");
    if (text == null) {
      return null;
    }
    ServiceRollOut rollOut = codec.fromJson(text, RelayResult.RollOutRead.class).rollOut();
    return rollOut == null ? null : rollOut.phase();
  }

  /** Announces an upstream at the first control VM that takes it. */
  void announce(String id, String version, int port, long sequence) throws InterruptedException {
    UpstreamInstance instance =
        new UpstreamInstance(id, SERVICE, "127.0.0.1:" + port, "a", version, 50, sequence, 0);
    for (int control = 0; control < ports.size(); control++) {
      int turn = (int) ((control + sequence) % ports.size());
      if (call("PUT", turn, "upstreams/" + id, codec.toJson(instance)) != null) {
        return;
      }
    }
  }

  private HttpRequest request(
      String method, int control, String path, String body, Duration timeout) {
    URI uri = URI.create("http://127.0.0.1:" + ports.get(control) + "/relay/v1/" + path);
    return HttpRequest.newBuilder(uri)
        .timeout(timeout)
        .method(method, HttpRequest.BodyPublishers.ofString(body))
        .build();
  }

  private @Nullable String call(String method, int control, String path, String body)
      throws InterruptedException {
    HttpRequest request = request(method, control, path, body, TIMEOUT);
    try {
      HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
      return answer.statusCode() == OK ? answer.body() : null;
    } catch (IOException unreachable) {
      return null;
    }
  }

  private static RelayConfiguration configuration(long version) {
    List<RelayRoute> routes = new ArrayList<>();
    routes.add(route(SoakAnswer.Kind.LOOKUP, RouteKind.IDEMPOTENT));
    routes.add(route(SoakAnswer.Kind.BOOKING, RouteKind.NON_IDEMPOTENT));
    routes.add(route(SoakAnswer.Kind.STREAM, RouteKind.STREAMING));
    return new RelayConfiguration(
        version,
        routes,
        List.of(new RelayService(SERVICE, "/health", 400, null)),
        List.of(
            new RelayTeam("lasting", List.of(LASTING_KEY), null),
            new RelayTeam("changing", List.of(key(version)), null)),
        RelayLimits.DEFAULT);
  }

  private static RelayRoute route(SoakAnswer.Kind kind, RouteKind allows) {
    return new RelayRoute(
        kind.name(),
        "soak.example",
        kind.path,
        allows,
        List.of(new WeightedService(SERVICE, 1)),
        3000,
        500,
        600,
        allows == RouteKind.NON_IDEMPOTENT ? 1 : MAX_ATTEMPTS,
        1,
        false,
        false,
        allows == RouteKind.STREAMING,
        List.of());
  }
}
