package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import io.netty.bootstrap.Bootstrap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jspecify.annotations.Nullable;
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
import org.skylarkfork.runtime.startup.EarlyListeners;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Starts a new daemon for each test, which is both entry and control VM, and its upstreams. */
abstract class RelayNodeHarness {

  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  static final int MAX_TRIES = 20_000;

  /** Prefix of the ids of requests that show which upstreams are known. */
  private static final String KNOWN = "known-";

  /** Longest silence of a connection, so that one that is never closed fails its test. */
  private static final int MAX_SILENCE_MILLIS = 20_000;

  final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  final Codec codec = new Codec();
  final List<ScriptedUpstream> upstreams = new ArrayList<>();

  /** Failures for which the daemon's process would have ended. */
  final List<Throwable> failures = new CopyOnWriteArrayList<>();

  private @Nullable RelayNode node;
  private String peerName = "";

  /** Starts a daemon with an empty data folder. */
  @BeforeMethod
  public void start() throws IOException {
    failures.clear();
    Path folder = Files.createTempDirectory("relay");
    InetSocketAddress peer;
    try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
      peer = new InetSocketAddress(LOOPBACK, socket.getLocalPort());
    }
    peerName = "127.0.0.1:" + peer.getPort();
    InetSocketAddress anyPort = new InetSocketAddress(LOOPBACK, 0);
    RelaySettings settings =
        new RelaySettings(
            "test",
            "a",
            List.of("a"),
            peer,
            List.of(peerName),
            anyPort,
            null,
            anyPort,
            null,
            anyPort,
            folder,
            true,
            1,
            Duration.ofSeconds(5),
            Duration.ofSeconds(1),
            0.9,
            Duration.ofSeconds(1),
            EntryCapacity.UNKNOWN,
            OverloadSettings.DEFAULT);
    RelayNode started =
        new RelayNode(
            settings,
            new EarlyListeners(),
            new MonotonicClock(InstantSource.system(), System::nanoTime),
            connector(),
            dialect(),
            new RelayAdmin(codec),
            failure -> {
              failures.add(failure);
              throw new AssertionError(failure);
            });
    started.start();
    node = started;
  }

  /** Returns what connects the daemon to its upstreams. */
  UpstreamConnector connector() {
    return Bootstrap::connect;
  }

  /** Returns the daemon's mapping of headers. */
  RelayDialect dialect() {
    return new RelayHeaders();
  }

  /** Closes the daemon and the upstreams. */
  @AfterMethod
  public void close() throws IOException {
    node().close();
    for (ScriptedUpstream upstream : upstreams) {
      upstream.close();
    }
    upstreams.clear();
  }

  /** Returns the daemon's peer name. */
  String peerName() {
    return peerName;
  }

  RelayNode node() {
    assertNotNull(node);
    return node;
  }

  private static RelayRoute route(String prefix, RouteKind kind, int timeout) {
    return new RelayRoute(
        prefix,
        "host.example",
        prefix,
        kind,
        List.of(new WeightedService("service", 1)),
        timeout,
        1000,
        800,
        2,
        1,
        false,
        false,
        kind == RouteKind.STREAMING,
        List.of());
  }

  /** Returns the configuration of {@link #serveWith}. */
  static RelayConfiguration configuration(int maxConnections) {
    return new RelayConfiguration(
        1,
        List.of(
            route("/lookup/", RouteKind.IDEMPOTENT, 5000),
            route("/book/", RouteKind.NON_IDEMPOTENT, 5000),
            route("/stream/", RouteKind.STREAMING, 5000)),
        List.of(new RelayService("service", "/health", maxConnections, null)),
        List.of(new RelayTeam("team", List.of("key"), null)),
        RelayLimits.DEFAULT);
  }

  void serveWith(ScriptedUpstream.Script... scripts) throws Exception {
    serveWith(100, scripts);
  }

  /**
   * Puts a configuration in force and announces an upstream for each script.
   *
   * @param maxConnections number of connections that each upstream accepts
   * @param scripts scripts of the upstreams
   */
  void serveWith(int maxConnections, ScriptedUpstream.Script... scripts) throws Exception {
    putUntilAccepted("configuration", codec.toJson(configuration(maxConnections)));
    for (ScriptedUpstream.Script script : scripts) {
      ScriptedUpstream upstream = new ScriptedUpstream(script);
      upstreams.add(upstream);
      String id = "up-" + upstreams.size();
      putUntilAccepted(
          "upstreams/" + id,
          codec.toJson(
              new UpstreamInstance(id, "service", upstream.address(), "a", "v1", 4, 1, 0)));
    }
  }

  void putUntilAccepted(String path, String body) throws Exception {
    int port = node().controlAddress().join().getPort();
    URI uri = URI.create("http://127.0.0.1:" + port + "/relay/v1/" + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri).PUT(HttpRequest.BodyPublishers.ofString(body)).build();
    for (int tries = 0; tries < MAX_TRIES; tries++) {
      HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
      if (answer.statusCode() == 200) {
        return;
      }
      assertEquals(answer.statusCode(), 503, answer.body());
    }
    throw new AssertionError("not accepted: " + path);
  }

  /**
   * Sends a request on a new connection and returns all bytes received until the connection closes.
   */
  String exchange(String path, String id, String body) throws IOException {
    return exchangeRaw(
        "POST "
            + path
            + " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: "
            + id
            + "\r\nAuthorization: Bearer key\r\nSkylarkfork-Team: forged\r\nConnection: close\r\n"
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  String exchangeRaw(String request) throws IOException {
    assertNotNull(node().callerAddress());
    try (Socket socket = new Socket(LOOPBACK, node().callerAddress().getPort())) {
      socket.setSoTimeout(MAX_SILENCE_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      InputStream in = socket.getInputStream();
      for (int read = in.read(); read >= 0; read = in.read()) {
        all.write(read);
      }
      return all.toString(StandardCharsets.UTF_8);
    }
  }

  /**
   * Sends a request until it is served, which takes until the upstream is known; only for upstreams
   * whose script ignores the number of requests.
   */
  String sendUntilServed(String path, String id) throws IOException {
    String answer = "";
    for (int tries = 0; tries < MAX_TRIES; tries++) {
      answer = exchange(path, id, "body");
      if (!answer.startsWith("HTTP/1.1 503") && !answer.startsWith("HTTP/1.1 404")) {
        return answer;
      }
    }
    throw new AssertionError("request was never served: " + answer);
  }

  /** Answers requests of {@link #awaitUpstreams}, and others by a script. */
  static ScriptedUpstream.Script afterKnown(ScriptedUpstream.Script others) {
    return (requestNumber, head, out) -> {
      if (ScriptedUpstream.requestIdIn(head).startsWith(KNOWN)) {
        out.write(ScriptedUpstream.response(head, 200, "known"));
        return true;
      }
      return others.answer(requestNumber, head, out);
    };
  }

  /** Sends requests until each upstream has received one. */
  void awaitUpstreams() throws IOException {
    for (int tries = 0; tries < MAX_TRIES; tries++) {
      if (upstreams.stream().noneMatch(upstream -> upstream.heads().isEmpty())) {
        return;
      }
      sendUntilServed("/lookup/x", KNOWN + tries);
    }
    throw new AssertionError("an upstream received no request");
  }

  /** Sends an operator's call to the control VM and returns the answer. */
  HttpResponse<String> callControl(String method, String path) throws Exception {
    int port = node().controlAddress().join().getPort();
    URI uri = URI.create("http://127.0.0.1:" + port + "/relay/v1/" + path);
    return client.send(
        HttpRequest.newBuilder(uri).method(method, HttpRequest.BodyPublishers.noBody()).build(),
        HttpResponse.BodyHandlers.ofString());
  }

  /** Returns the daemon's metrics. */
  String metrics() throws Exception {
    return metricsPage("/metrics");
  }

  /** Returns the metrics of a daemon. */
  String metricsOf(RelayNode daemon) throws Exception {
    return page(daemon, "/metrics");
  }

  /** Returns a page at the daemon's metrics address. */
  String metricsPage(String path) throws Exception {
    return page(node(), path);
  }

  private String page(RelayNode daemon, String path) throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + daemon.metricsAddress().join().getPort() + path);
    HttpRequest request = HttpRequest.newBuilder(uri).GET().build();
    return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }
}
