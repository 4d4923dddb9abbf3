import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Records the classes that a daemon loads, in an archive that later starts map into memory.
 *
 * <p>It runs one daemon that is entry and control VM on loopback, sends it a configuration, a
 * heartbeat and some requests, and stops it. A start takes about half as long with the archive.
 */
public final class Rehearse {

  /** A loopback address of this process's own, so that builds at the same time don't meet. */
  private static final String HOST =
      "127." + (1 + ProcessHandle.current().pid() % 250) + "."
          + ProcessHandle.current().pid() / 250 % 250 + ".61";

  private static final int FRONT = 18080;
  private static final int READY = 18081;
  private static final int CONTROL = 18082;
  private static final int LISTS = 18083;
  private static final int PEERS = 18084;
  private static final int SERVER = 18087;
  private static final int TRIES = 100;
  private static final int REQUESTS = 20;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  private Rehearse() {}

  public static void main(String[] arguments) throws Exception {
    Path work = Path.of("target", "rehearsal");
    Files.createDirectories(work.resolve("data-" + ProcessHandle.current().pid()));
    Path settings = work.resolve("settings.json");
    Files.writeString(settings, settings(work.resolve("data-" + ProcessHandle.current().pid())));
    HttpServer server = server();
    try {
      // The second run recovers what the first has stored, so that the archive holds that as well.
      play(start(settings, work.resolve("first.log"), List.of()));
      play(
          start(
              settings,
              work.resolve("daemon.log"),
              List.of("-XX:ArchiveClassesAtExit=target/relay.jsa")));
    } finally {
      server.stop(0);
    }
    if (!Files.exists(Path.of("target", "relay.jsa"))) {
      throw new IOException("no archive was written; see target/rehearsal/daemon.log");
    }
  }

  private static void play(Process daemon) throws Exception {
    try {
      new Rehearse().play();
    } finally {
      daemon.destroy();
      if (!daemon.waitFor(60, TimeUnit.SECONDS)) {
        daemon.destroyForcibly();
      }
    }
  }

  private static Process start(Path settings, Path log, List<String> options) throws IOException {
    List<String> command = new ArrayList<>(List.of("java", "-Xmx80m", "-Xss256k"));
    command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(options);
    command.addAll(List.of("-cp", "target/skylarkfork-relay.jar", "org.skylarkfork.platform.PlatformMain"));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("SKYLARKFORK_CONFIG", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    return builder.start();
  }

  private static String settings(Path data) {
    // JSON, as the deployment's template makes it, so that the archive holds what reads it.
    return String.join(
        "\n",
        "{\"node_name\": \"rehearsal\",",
        "\"ip\": \"" + HOST + "\",",
        "\"zone\": \"a\",",
        "\"listen\": {",
        "  \"front\": \"" + HOST + ":" + FRONT + "\",",
        "  \"ready\": \"" + HOST + ":" + READY + "\",",
        "  \"control\": \"" + HOST + ":" + CONTROL + "\",",
        "  \"directory\": \"" + HOST + ":" + LISTS + "\"},",
        "\"internal_port_range\": [" + PEERS + ", " + (PEERS + 2) + "],",
        "\"seeds\": [\"" + HOST + ":" + CONTROL + "\"],",
        "\"bootstrap\": true,",
        "\"data_dir\": \"" + data + "\",",
        "\"bounds\": {\"grace_s\": 1, \"retry_budget_ratio\": 0.9}}");
  }

  private static HttpServer server() throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(HOST, SERVER), 0);
    server.createContext(
        "/",
        exchange -> {
          exchange.getRequestBody().readAllBytes();
          String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
          exchange.getResponseHeaders().set("X-Request-Id", id);
          exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
          exchange.sendResponseHeaders(200, 0);
          byte[] events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n".getBytes(StandardCharsets.UTF_8);
          exchange.getResponseBody().write(events);
          exchange.close();
        });
    server.start();
    return server;
  }

  private void play() throws Exception {
    String configuration =
        "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"rehearsal.example\","
            + "\"path_prefix\":\"/a/\",\"kind\":\"streaming\",\"timeout_ms\":5000,"
            + "\"service\":\"s\",\"max_attempts\":2,\"stream_resume\":true}],"
            + "\"services\":[{\"name\":\"s\",\"health_path\":\"/h\",\"max_connections\":10}],"
            + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"]}]}";
    String beat =
        "{\"service\":\"s\",\"address\":\"" + HOST + ":" + SERVER + "\",\"zone\":\"a\","
            + "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"sequence\":1}";
    until(CONTROL, "POST", "/config/put", configuration);
    until(CONTROL, "POST", "/instances/i-1/heartbeat", beat);
    until(CONTROL, "GET", "/config/get", "");
    until(READY, "GET", "/readyz", "");
    until(LISTS, "GET", "/resolve?name=rehearsal.example&zone=a", "");
    for (int request = 0; request < REQUESTS; request++) {
      send(FRONT, "POST", "/a/b", "body");
    }
    send(PEERS + 1, "GET", "/metrics", "");
  }

  private void until(int port, String method, String path, String body) throws Exception {
    for (int tries = 0; tries < TRIES; tries++) {
      if (send(port, method, path, body) == 200) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
    throw new IOException("no answer to " + path + "; see target/rehearsal/daemon.log");
  }

  private int send(int port, String method, String path, String body) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + path))
            .timeout(Duration.ofSeconds(5))
            .header("X-Request-Id", "rehearsal")
            .header("X-Deadline-Ms", "5000")
            .header("Authorization", "Bearer k")
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    } catch (IOException notYet) {
      return 0;
    }
  }
}
