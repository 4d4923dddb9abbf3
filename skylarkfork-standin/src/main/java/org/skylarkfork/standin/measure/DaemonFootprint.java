package org.skylarkfork.standin.measure;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.membership.Seed;
import org.skylarkfork.runtime.http.Sha256;
import org.skylarkfork.runtime.loop.MonotonicClock;
import org.skylarkfork.runtime.node.DaemonNode;
import org.skylarkfork.runtime.settings.DaemonSettings;
import org.skylarkfork.runtime.transport.PeerFilter;

/**
 * Measures resident size, processor time and bytes of one idle daemon process among many members.
 *
 * <p>Arguments: a folder, members, upstreams, seconds, then options for the daemon's Java machine;
 * one that starts with {@code env:} sets a variable instead. The daemon is a real process without a
 * replica; a voter with the configuration and members that speak real frames run in this one.
 */
public final class DaemonFootprint {

  private static final String CLUSTER = "footprint";
  private static final String KEY = "operator-key-for-measuring";
  private static final String SECRET = "session-secret-for-measuring";
  private static final String DAEMON = "measured";
  private static final String VOTER = "voter-0";
  private static final String MAIN = "org.skylarkfork.daemon.Skylarkfork";
  private static final String ENVIRONMENT = "env:";
  private static final Duration LIMIT = Duration.ofSeconds(60);
  private static final int SETTLE_SECONDS = 45;

  /** News of members that joined together are passed on for a time that grows with their number. */
  private static final int MEMBERS_SETTLED_A_SECOND = 4;

  private static final int TEAMS = 100;
  private static final int USER_TIME = 11;
  private static final int SYSTEM_TIME = 12;
  private static final double TICKS_A_SECOND = 100;

  private final Path folder;
  private final MonotonicClock clock = new MonotonicClock(InstantSource.system(), System::nanoTime);

  private DaemonFootprint(Path folder) {
    this.folder = folder;
  }

  /** Runs one point and prints one JSON line. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory(Path.of(arguments[0]), "footprint");
    List<String> options = Arrays.asList(arguments).subList(4, arguments.length);
    new DaemonFootprint(folder)
        .run(
            Integer.parseInt(arguments[1]),
            Integer.parseInt(arguments[2]),
            Integer.parseInt(arguments[3]),
            options);
    System.exit(0);
  }

  private void run(int members, int upstreams, int seconds, List<String> options)
      throws IOException, InterruptedException {
    DaemonNode voter = voter();
    Seed voterSeed = new Seed(VOTER, FootprintMember.HOST, voter.peerPort());
    FootprintCrowd crowd =
        new FootprintCrowd(members - 2, CLUSTER, List.of(voterSeed), DAEMON, clock);
    int callerPort = freePort();
    Process daemon = start(settings(voterSeed, crowd.seed(), callerPort), options);
    try {
      TimeUnit.SECONDS.sleep(SETTLE_SECONDS + members / MEMBERS_SETTLED_A_SECOND);
      final double before = processorSeconds(daemon);
      final long out = crowd.bytesFromDaemon.get();
      final long in = crowd.bytesToDaemon.get();
      final long begun = System.nanoTime();
      TimeUnit.SECONDS.sleep(seconds);
      final double elapsed = (System.nanoTime() - begun) / 1e9;
      final double used = processorSeconds(daemon) - before;
      final long outBytes = crowd.bytesFromDaemon.get() - out;
      final long inBytes = crowd.bytesToDaemon.get() - in;
      final String idle = status(daemon);
      announce(upstreams, callerPort);
      TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
      System.out.printf(
          Locale.ROOT,
          "{\"measure\":\"footprint\",\"members\":%d,\"upstreams\":%d,\"options\":\"%s\","
              + "\"corePercent\":%.2f,\"bytesOutPerSecond\":%.0f,\"bytesInPerSecond\":%.0f,"
              + "\"resident\":\"%s\",\"residentWithUpstreams\":\"%s\"}%n",
          members,
          upstreams,
          String.join(" ", options),
          100 * used / elapsed,
          outBytes / elapsed,
          inBytes / elapsed,
          idle,
          status(daemon));
    } finally {
      daemon.destroyForcibly().waitFor();
      crowd.close();
      voter.close();
    }
  }

  private DaemonNode voter() throws IOException, InterruptedException {
    Path data = Files.createDirectories(folder.resolve(VOTER));
    DaemonSettings settings =
        new DaemonSettings(
            VOTER,
            CLUSTER,
            "region",
            "zone-v",
            FootprintMember.HOST,
            0,
            0,
            0,
            data,
            List.of(VOTER),
            List.of(),
            null,
            SECRET,
            Sha256.hex(KEY),
            null,
            null,
            null);
    DaemonNode node =
        new DaemonNode(
            settings,
            clock,
            PeerFilter.PASS_ALL,
            failure -> {
              throw new IllegalStateException(failure);
            });
    node.start();
    if (!node.await(node::leads, LIMIT)) {
      throw new IllegalStateException("the voter did not become leader in time");
    }
    for (ConfigurationChange change : MeasureConfiguration.changes(TEAMS)) {
      node.change(KEY, "load-" + change.hashCode(), change);
      TimeUnit.MILLISECONDS.sleep(20);
    }
    if (!node.await(node::ready, LIMIT)) {
      throw new IllegalStateException("the voter did not get its configuration in time");
    }
    return node;
  }

  private Path settings(Seed voter, Seed member, int callerPort) throws IOException {
    List<String> lines = new ArrayList<>();
    lines.add("node: " + DAEMON);
    lines.add("cluster: " + CLUSTER);
    lines.add("region: region");
    lines.add("zone: zone-m");
    lines.add("host: " + FootprintMember.HOST);
    lines.add("callerPort: " + callerPort);
    lines.add("adminPort: 0");
    lines.add("peerPort: 0");
    lines.add("voters: [" + VOTER + "]");
    lines.add("seeds:");
    for (Seed seed : List.of(voter, member)) {
      lines.add(
          String.format(
              "  - {node: %s, host: %s, port: %d}", seed.node(), seed.host(), seed.port()));
    }
    lines.add("sessionSecret: " + SECRET);
    lines.add("bootstrapOperatorKeySha256: " + Sha256.hex(KEY));
    return Files.write(folder.resolve("measured.yaml"), lines);
  }

  private Process start(Path settings, List<String> options) throws IOException {
    List<String> command = new ArrayList<>(List.of("java"));
    options.stream().filter(option -> !option.startsWith(ENVIRONMENT)).forEach(command::add);
    command.add("-Djava.net.preferIPv4Stack=true");
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), MAIN));
    command.addAll(List.of("daemon", "--settings", settings.toString()));
    ProcessBuilder builder = new ProcessBuilder(command);
    for (String option : options) {
      if (option.startsWith(ENVIRONMENT)) {
        String[] pair = option.substring(ENVIRONMENT.length()).split("=", 2);
        builder.environment().put(pair[0], pair[1]);
      }
    }
    return builder
        .redirectErrorStream(true)
        .redirectOutput(folder.resolve("measured.log").toFile())
        .start();
  }

  private static void announce(int upstreams, int port) throws IOException, InterruptedException {
    HttpClient client = HttpClient.newHttpClient();
    for (int number = 0; number < upstreams; number++) {
      String body =
          String.format(
              Locale.ROOT,
              "{\"protocol\":1,\"id\":\"engine-%d\",\"incarnation\":1,"
                  + "\"address\":\"10.9.%d.%d:9000\",\"zone\":\"zone-%d\",\"kind\":\"engine\","
                  + "\"models\":[{\"model\":\"model-%d\",\"version\":\"1\","
                  + "\"adapters\":[\"adapter-1\"]}],\"role\":\"mixed\",\"capacity\":8,"
                  + "\"load\":{\"running\":0,\"queued\":0,\"cacheUsed\":0.5,\"ageMillis\":100}}",
              number,
              number / 250,
              number % 250,
              number % 14,
              number % 10);
      HttpRequest request =
          HttpRequest.newBuilder(
                  URI.create("http://" + FootprintMember.HOST + ":" + port + "/v1/upstreams"))
              .POST(HttpRequest.BodyPublishers.ofString(body))
              .build();
      int status = client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
      if (status >= 300) {
        throw new IOException("an announcement got status " + status);
      }
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket =
        new ServerSocket(0, 1, InetAddress.getByName(FootprintMember.HOST))) {
      return socket.getLocalPort();
    }
  }

  private static double processorSeconds(Process daemon) throws IOException {
    String line = Files.readString(Path.of("/proc", Long.toString(daemon.pid()), "stat"));
    String[] fields = line.substring(line.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME]))
        / TICKS_A_SECOND;
  }

  /** Returns present and greatest resident size and the number of threads. */
  private static String status(Process daemon) throws IOException {
    List<String> kept = new ArrayList<>();
    for (String line : Files.readAllLines(Path.of("/proc", "" + daemon.pid(), "status"))) {
      if (line.startsWith("VmHWM") || line.startsWith("VmRSS") || line.startsWith("Threads")) {
        kept.add(line.replaceAll("\\s+", " "));
      }
    }
    return String.join(", ", kept);
  }
}
