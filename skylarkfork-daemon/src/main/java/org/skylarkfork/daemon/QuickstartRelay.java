package org.skylarkfork.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.skylarkfork.core.overload.EntryCapacity;
import org.skylarkfork.core.overload.OverloadSettings;
import org.skylarkfork.core.relay.RelayConfiguration;
import org.skylarkfork.core.relay.RelayLimits;
import org.skylarkfork.core.relay.RelayRoute;
import org.skylarkfork.core.relay.RelayService;
import org.skylarkfork.core.relay.RelayTeam;
import org.skylarkfork.core.relay.RouteKind;
import org.skylarkfork.core.relay.UpstreamInstance;
import org.skylarkfork.core.relay.WeightedService;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.loop.MonotonicClock;
import org.skylarkfork.runtime.relay.RelayAdmin;
import org.skylarkfork.runtime.relay.RelayHeaders;
import org.skylarkfork.runtime.relay.RelayNode;
import org.skylarkfork.runtime.relay.RelaySettings;

/** The relay of quickstart: one daemon that passes lookups on to a stand-in service. */
final class QuickstartRelay implements AutoCloseable {

  private static final String HOST = "127.0.0.1";
  private static final String ZONE = "zone-a";
  private static final int OK = 200;
  private static final long POLL_MILLIS = 20;

  private final Codec codec = new Codec();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final RelayNode node;

  /**
   * Starts the daemon.
   *
   * @param folder an empty folder for its state
   */
  QuickstartRelay(Path folder) throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getByName(HOST), 0);
    InetSocketAddress peer;
    try (ServerSocket free = new ServerSocket(0, 1, any.getAddress())) {
      peer = new InetSocketAddress(any.getAddress(), free.getLocalPort());
    }
    RelaySettings settings =
        new RelaySettings(
            "quickstart-relay",
            ZONE,
            List.of(ZONE),
            peer,
            List.of(HOST + ":" + peer.getPort()),
            any,
            null,
            any,
            null,
            null,
            folder,
            true,
            1,
            Duration.ofSeconds(5),
            Duration.ofSeconds(1),
            0.2,
            Duration.ofSeconds(1),
            EntryCapacity.UNKNOWN,
            OverloadSettings.DEFAULT);
    node =
        new RelayNode(
            settings,
            new MonotonicClock(InstantSource.system(), System::nanoTime),
            new RelayHeaders(),
            new RelayAdmin(codec),
            failure -> System.err.println("The relay stopped: " + failure));
    node.start();
  }

  /**
   * Lets the relay pass {@code /register/} on to a service.
   *
   * @param upstream IP number and port of the service
   * @param limit longest time until it does
   * @return whether it does
   */
  boolean serve(String upstream, Duration limit) throws IOException, InterruptedException {
    RelayRoute route =
        new RelayRoute(
            "register",
            HOST,
            "/register/",
            RouteKind.IDEMPOTENT,
            List.of(new WeightedService("register", 1)),
            2000,
            300,
            0,
            2,
            0,
            false,
            false,
            false,
            List.of());
    RelayConfiguration configuration =
        new RelayConfiguration(
            1,
            List.of(route),
            List.of(new RelayService("register", "/health", 50, null)),
            List.of(new RelayTeam("quickstart", List.of(ExampleConfiguration.TEAM_KEY), null)),
            RelayLimits.DEFAULT);
    UpstreamInstance instance =
        new UpstreamInstance("service-1", "register", upstream, ZONE, "1", 4, 1, 0);
    Instant until = Instant.now().plus(limit);
    return put("configuration", codec.toJson(configuration), until)
        && put("upstreams/service-1", codec.toJson(instance), until)
        && served(until);
  }

  private boolean put(String path, String body, Instant until)
      throws IOException, InterruptedException {
    long left = Math.max(1, Duration.between(Instant.now(), until).toMillis());
    InetSocketAddress bound =
        node.controlAddress().copy().completeOnTimeout(null, left, TimeUnit.MILLISECONDS).join();
    if (bound == null) {
      return false;
    }
    int port = bound.getPort();
    URI uri = URI.create("http://" + HOST + ":" + port + "/relay/v1/" + path);
    return repeated(
        HttpRequest.newBuilder(uri).PUT(HttpRequest.BodyPublishers.ofString(body)).build(), until);
  }

  private boolean served(Instant until) throws IOException, InterruptedException {
    return repeated(
        HttpRequest.newBuilder(URI.create(base() + "/register/chips/1"))
            .header("Authorization", "Bearer " + ExampleConfiguration.TEAM_KEY)
            .header("X-Request-Id", "quickstart")
            .build(),
        until);
  }

  private boolean repeated(HttpRequest request, Instant until)
      throws IOException, InterruptedException {
    while (Instant.now().isBefore(until)) {
      if (client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == OK) {
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    return false;
  }

  /** Returns the address for callers, such as {@code http://127.0.0.1:8080}. */
  String base() {
    return "http://"
        + HOST
        + ":"
        + Objects.requireNonNull(node.callerAddress(), "start first").getPort();
  }

  @Override
  public void close() {
    node.close();
  }
}
