package org.skylarkfork.daemon.proof;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.skylarkfork.daemon.ExampleConfiguration;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.http.Sha256;
import org.skylarkfork.runtime.settings.DaemonSettings;
import org.skylarkfork.runtime.trace.TimelineRecord;

/** The daemons of the proof: three voters and some entries in three availability zones. */
final class ProofCluster implements AutoCloseable {

  /** How long the system may take to serve again after a fault. */
  static final Duration RECOVERY_LIMIT = Duration.ofSeconds(60);

  private static final int VOTERS = 3;
  private static final int FIRST_HOST = 11;
  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final Duration LIST_LIFETIME = Duration.ofSeconds(1);
  private static final long POLL_MILLIS = 20;

  private final List<ProofDaemon> daemons = new ArrayList<>();

  /**
   * Makes the daemons; {@link #start} starts them.
   *
   * @param folder takes their data and time lines
   * @param entries how many daemons there are besides the voters
   * @param rating address of the rating service
   * @param broken told if an invariant breaks
   */
  ProofCluster(Path folder, int entries, String rating, Consumer<String> broken) {
    List<int[]> ports = new ArrayList<>();
    List<DaemonSettings.Seed> seeds = new ArrayList<>();
    List<String> voters = new ArrayList<>();
    for (int number = 0; number < VOTERS + entries; number++) {
      int[] free = freePorts(host(number));
      ports.add(free);
      if (number < VOTERS) {
        voters.add(name(number));
        seeds.add(new DaemonSettings.Seed(name(number), host(number), free[2]));
      }
    }
    for (int number = 0; number < ports.size(); number++) {
      daemons.add(
          new ProofDaemon(
              settings(folder, number, ports.get(number), voters, seeds, rating), broken));
    }
  }

  private static String name(int number) {
    return "vm-" + (number + 1);
  }

  private static String host(int number) {
    return "127.0.0." + (FIRST_HOST + number);
  }

  /** Finds ports that a daemon can have again after a restart. */
  private static int[] freePorts(String host) {
    try (ServerSocket callers = bound(host);
        ServerSocket operators = bound(host);
        ServerSocket peers = bound(host)) {
      return new int[] {callers.getLocalPort(), operators.getLocalPort(), peers.getLocalPort()};
    } catch (IOException failure) {
      throw new UncheckedIOException("No free port on " + host + ".", failure);
    }
  }

  private static ServerSocket bound(String host) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
    return socket;
  }

  private static DaemonSettings settings(
      Path folder,
      int number,
      int[] ports,
      List<String> voters,
      List<DaemonSettings.Seed> seeds,
      String rating) {
    Path data = folder.resolve(name(number));
    if (number < VOTERS && !data.toFile().mkdirs()) {
      throw new IllegalStateException("The folder " + data + " can't be made.");
    }
    return new DaemonSettings(
        name(number),
        "proof",
        "local",
        ZONES.get(number % ZONES.size()),
        host(number),
        ports[0],
        ports[1],
        ports[2],
        number < VOTERS ? data : null,
        voters,
        seeds,
        rating,
        "proof-session-secret",
        Sha256.hex(ExampleConfiguration.OPERATOR_KEY),
        LIST_LIFETIME,
        folder.resolve(name(number) + ".jsonl"),
        null);
  }

  void start() {
    daemons.forEach(ProofDaemon::start);
  }

  List<ProofDaemon> daemons() {
    return daemons;
  }

  List<ProofDaemon> voters() {
    return daemons.stream().filter(ProofDaemon::voter).toList();
  }

  List<ProofDaemon> entries() {
    return daemons.stream().filter(daemon -> !daemon.voter()).toList();
  }

  Optional<ProofDaemon> leader() {
    return daemons.stream().filter(ProofDaemon::leads).findFirst();
  }

  /** Waits for the leader of the configuration. */
  ProofDaemon awaitLeader() throws InterruptedException {
    await(() -> leader().isPresent());
    return leader().orElseThrow(() -> new IllegalStateException("There is no leader."));
  }

  /** Waits until all daemons run, serve and know the upstreams. */
  boolean awaitReady(int upstreams) throws InterruptedException {
    return await(
        () ->
            daemons.stream()
                .allMatch(daemon -> daemon.ready() && daemon.knownUpstreams() >= upstreams));
  }

  /** Waits for a condition, for a minute at most; the machine may be busy. */
  boolean await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + RECOVERY_LIMIT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    return true;
  }

  /** Cuts a daemon off from all others, in both directions and in silence. */
  void isolate(ProofDaemon daemon) {
    Set<String> others =
        daemons.stream()
            .filter(other -> other != daemon)
            .map(ProofDaemon::name)
            .collect(Collectors.toSet());
    daemon.cutOffFrom(others);
  }

  /** Reads the daemons' time lines; they are whole once the daemons are closed. */
  Map<String, List<TimelineRecord>> timelines() throws IOException {
    Codec codec = new Codec();
    Map<String, List<TimelineRecord>> found = new HashMap<>();
    for (ProofDaemon daemon : daemons) {
      List<TimelineRecord> lines = new ArrayList<>();
      for (String line : Files.readAllLines(daemon.timeline())) {
        lines.add(codec.fromJson(line, TimelineRecord.class));
      }
      found.put(daemon.name(), lines);
    }
    return found;
  }

  @Override
  public void close() {
    daemons.forEach(ProofDaemon::crash);
  }
}
