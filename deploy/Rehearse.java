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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Records the classes that a daemon loads, in an archive that later starts map into memory.
 *
 * <p>It runs three daemons, each entry and control VM, on loopback, sends them a configuration, a
 * heartbeat and requests, and stops them. The recorded one follows first and leads in the end, so
 * that the archive holds what both do. With a recorded daemon that was alone, a restarted control
 * VM took 0.146 s of its processor between its start and its first messages to others, since a
 * hundred classes of connections to peers were missing.
 *
 * <p>The archive only makes starts faster. A recording that fails, because the machine is busy or
 * its ports are in use, is repeated at another address; if none succeeds, a warning is printed and
 * the build goes on without an archive.
 */
public final class Rehearse {

  private static final int DAEMONS = 3;
  private static final int RECORDED = 0;
  private static final int FRONT = 18080;
  private static final int READY = 18081;
  private static final int CONTROL = 18082;
  private static final int LISTS = 18083;
  private static final int PEERS = 18084;
  private static final int SERVER = 18087;

  /** Time in which a daemon has to answer, in seconds. */
  private static final int ANSWER_SECONDS = 30;

  private static final int MAX_RECORDINGS = 3;

  /** Distance between the ports of two recordings. */
  private static final int PORTS_APART = 20;

  private static final int REQUESTS = 20;
  private static final String SITE = "rehearsal.example";

  /** Times that the leader is stopped until the recorded daemon has been elected. */
  private static final int MOST_ELECTIONS = 12;

  private static final Path WORK = Path.of("target", "rehearsal");
  private static final Path ARCHIVE = Path.of("target", "relay.jsa");
  private static final Pattern LEADER =
      Pattern.compile("event=leader_changed node=[0-9.]*\\.(\\d+):");

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private final Process[] daemons = new Process[DAEMONS];
  private final int recording;
  private final Path folder;

  /**
   * Creates a recording.
   *
   * @param recording its number, from 0, which gives it ports and a folder of its own
   */
  private Rehearse(int recording) {
    this.recording = recording;
    this.folder = WORK.resolve("run-" + ProcessHandle.current().pid() + "-" + recording);
  }

  public static void main(String[] arguments) throws IOException, InterruptedException {
    Files.createDirectories(WORK);
    // An archive of another jar would be of no use.
    Files.deleteIfExists(ARCHIVE);
    // The client sets this header itself unless it is told otherwise.
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    for (int recording = 0; recording < MAX_RECORDINGS; recording++) {
      if (new Rehearse(recording).succeeds()) {
        return;
      }
    }
    System.err.println(
        "WARNING: no archive of classes was recorded in "
            + MAX_RECORDINGS
            + " tries; daemons run without it and take longer to start. See "
            + WORK);
  }

  /** Returns whether the recording has written an archive. */
  private boolean succeeds() throws InterruptedException {
    try {
      record();
      if (Files.exists(ARCHIVE)) {
        return true;
      }
      System.err.println("Recording " + recording + ": no archive was written");
    } catch (IOException | RuntimeException failure) {
      System.err.println("Recording " + recording + ": " + failure);
    }
    return false;
  }

  private void record() throws IOException, InterruptedException {
    HttpServer server = server();
    try {
      run();
    } finally {
      server.stop(0);
    }
  }

  private void run() throws IOException, InterruptedException {
    try {
      // The second run recovers what the first has stored, so that the archive holds that as well.
      for (int daemon = 0; daemon < DAEMONS; daemon++) {
        start(daemon, true, List.of());
      }
      play(RECORDED, 1);
      stopAll();
      start(1, false, List.of());
      start(2, false, List.of());
      play(1, 2);
      start(RECORDED, false, List.of("-XX:ArchiveClassesAtExit=" + ARCHIVE));
      play(RECORDED, 3);
      elect(RECORDED);
      play(RECORDED, 4);
    } finally {
      stopAll();
    }
  }

  /** Stops leaders until a daemon leads; the others come back, since two of three must be there. */
  private void elect(int wanted) throws IOException, InterruptedException {
    for (int election = 0; election < MOST_ELECTIONS; election++) {
      int leader = leader(wanted);
      if (leader == wanted) {
        return;
      }
      if (leader >= 0) {
        stop(leader);
        TimeUnit.SECONDS.sleep(1);
        start(leader, false, List.of());
      }
      TimeUnit.SECONDS.sleep(1);
    }
  }

  /** Returns the leader that a daemon has logged last, or -1. */
  private int leader(int daemon) throws IOException {
    Matcher matcher = LEADER.matcher(Files.readString(log(daemon)));
    int last = -1;
    while (matcher.find()) {
      last = Integer.parseInt(matcher.group(1)) - host(0).lastNumber();
    }
    return last;
  }

  private void start(int daemon, boolean first, List<String> options) throws IOException {
    Path data = folder.resolve("data-" + daemon);
    Files.createDirectories(data);
    Path settings = folder.resolve("settings-" + daemon + ".json");
    Files.writeString(settings, settings(daemon, first, data));
    List<String> command = new ArrayList<>(List.of("java", "-Xmx80m", "-Xss256k"));
    command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.add("-Djava.nio.channels.spi.SelectorProvider=sun.nio.ch.EPollSelectorProvider");
    command.addAll(List.of("-Dio.netty.jfr.enabled=false"));
    command.addAll(List.of("-Dio.netty.leakDetection.level=disabled"));
    command.addAll(options);
    command.addAll(List.of("-cp", "target/skylarkfork-relay.jar"));
    command.add("org.skylarkfork.platform.PlatformMain");
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("SKYLARKFORK_CONFIG", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.to(log(daemon).toFile()));
    daemons[daemon] = builder.start();
  }

  private Path log(int daemon) {
    return folder.resolve("daemon-" + daemon + ".log");
  }

  private void stop(int daemon) throws InterruptedException {
    Process process = daemons[daemon];
    if (process != null) {
      process.destroy();
      if (!process.waitFor(60, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
      daemons[daemon] = null;
    }
  }

  private void stopAll() throws InterruptedException {
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
      stop(daemon);
    }
  }

  /** A loopback address of this process's own, so that builds at the same time don't meet. */
  private record Host(long process, int lastNumber) {
    @Override
    public String toString() {
      return "127." + (1 + process % 250) + "." + process / 250 % 250 + "." + lastNumber;
    }
  }

  /** Returns the port of this recording for a port of the first one. */
  private int listener(int first) {
    return first + recording * PORTS_APART;
  }

  private static Host host(int daemon) {
    return new Host(ProcessHandle.current().pid(), 61 + daemon);
  }

  private String settings(int daemon, boolean first, Path data) {
    // JSON, as the deployment's template makes it, so that the archive holds what reads it.
    Host host = host(daemon);
    List<String> seeds = new ArrayList<>();
    for (int seed = 0; seed < DAEMONS; seed++) {
      seeds.add("\"" + host(seed) + ":" + listener(CONTROL) + "\"");
    }
    return String.join(
        "\n",
        "{\"node_name\": \"rehearsal-" + daemon + "\",",
        "\"ip\": \"" + host + "\",",
        "\"zone\": \"a\",",
        "\"listen\": {",
        "  \"front\": \"" + host + ":" + listener(FRONT) + "\",",
        "  \"ready\": \"" + host + ":" + listener(READY) + "\",",
        "  \"control\": \"" + host + ":" + listener(CONTROL) + "\",",
        "  \"directory\": \"" + host + ":" + listener(LISTS) + "\"},",
        "\"internal_port_range\": [" + listener(PEERS) + ", " + listener(PEERS + 2) + "],",
        "\"seeds\": [" + String.join(", ", seeds) + "],",
        "\"bootstrap\": " + first + ",",
        "\"data_dir\": \"" + data + "\",",
        "\"bounds\": {\"grace_s\": 1, \"retry_budget_ratio\": 0.9}}");
  }

  private HttpServer server() throws IOException {
    InetSocketAddress address = new InetSocketAddress(host(0).toString(), listener(SERVER));
    HttpServer server = HttpServer.create(address, 0);
    server.createContext(
        "/",
        exchange -> {
          exchange.getRequestBody().readAllBytes();
          String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
          exchange.getResponseHeaders().set("X-Request-Id", id);
          exchange.getResponseHeaders().set("X-Server-Seal", "rehearsal");
          exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
          exchange.sendResponseHeaders(200, 0);
          byte[] events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n".getBytes(StandardCharsets.UTF_8);
          exchange.getResponseBody().write(events);
          exchange.close();
        });
    server.start();
    return server;
  }

  /** Calls a daemon as operators, upstreams and callers do. */
  private void play(int daemon, int version) throws IOException, InterruptedException {
    String configuration =
        "{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"" + SITE + "\","
            + "\"path_prefix\":\"/a/\",\"kind\":\"streaming\",\"timeout_ms\":5000,"
            + "\"service\":\"s\",\"max_attempts\":2,\"stream_resume\":true}],"
            + "\"services\":[{\"name\":\"s\",\"health_path\":\"/h\",\"max_connections\":10}],"
            + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"]}]}";
    String beat =
        "{\"service\":\"s\",\"address\":\"" + host(0) + ":" + listener(SERVER) + "\","
            + "\"zone\":\"a\","
            + "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"sequence\":" + version + "}";
    until(daemon, CONTROL, "POST", "/config/put", configuration);
    until(daemon, CONTROL, "POST", "/instances/i-1/heartbeat", beat);
    until(daemon, CONTROL, "GET", "/config/get", "");
    until(daemon, READY, "GET", "/readyz", "");
    until(daemon, LISTS, "GET", "/resolve?name=" + SITE + "&zone=a", "");
    for (int request = 0; request < REQUESTS; request++) {
      until(daemon, FRONT, "POST", "/a/b", "body");
    }
    send(daemon, PEERS + 1, "GET", "/metrics", "");
  }

  private void until(int daemon, int port, String method, String path, String body)
      throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(ANSWER_SECONDS);
    while (System.nanoTime() < end && daemons[daemon].isAlive()) {
      if (send(daemon, port, method, path, body) == 200) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
    String why = daemons[daemon].isAlive() ? "no answer to " + path : "the daemon has ended";
    throw new IOException(why + "; see " + log(daemon));
  }

  private int send(int daemon, int port, String method, String path, String body)
      throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + host(daemon) + ":" + listener(port) + path))
            .timeout(Duration.ofSeconds(5))
            .header("X-Request-Id", "rehearsal")
            .header("X-Deadline-Ms", "5000")
            .header("Host", SITE)
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
