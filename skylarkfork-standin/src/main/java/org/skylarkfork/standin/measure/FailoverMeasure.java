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
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.runtime.http.Sha256;
import org.skylarkfork.runtime.loop.MonotonicClock;
import org.skylarkfork.runtime.node.DaemonNode;
import org.skylarkfork.runtime.settings.DaemonSettings;
import org.skylarkfork.runtime.transport.PeerFilter;

/**
 * Measures the time without a leader of the configuration group over real connections and disks.
 *
 * <p>Arguments: a folder, voters, rounds, and optionally other daemons. All daemons run in this
 * process on loopback. In each round the leader is either closed at once, which ends its
 * connections, or cut off in silence; the time ends when another voter holds the lease. Then it
 * comes back and all are ready before the next.
 */
public final class FailoverMeasure {

  private static final String HOST = "127.0.0.1";
  private static final String KEY = "operator-key-for-measuring";
  private static final String SECRET = "session-secret-for-measuring";
  private static final Duration LIMIT = Duration.ofSeconds(60);
  private static final int TEAMS = 3;
  private static final long CHANGE_MILLIS = 200;

  private final List<Voter> voters = new ArrayList<>();
  private final MonotonicClock clock = new MonotonicClock(InstantSource.system(), System::nanoTime);

  private FailoverMeasure(Path folder, int count, int entries) throws IOException {
    List<String> names = new ArrayList<>();
    List<DaemonSettings.Seed> seeds = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      names.add("voter-" + number);
      seeds.add(new DaemonSettings.Seed("voter-" + number, HOST, freePort()));
    }
    List<DaemonSettings.Seed> all = new ArrayList<>(seeds);
    for (int number = 0; number < entries; number++) {
      all.add(new DaemonSettings.Seed("entry-" + number, HOST, freePort()));
    }
    for (DaemonSettings.Seed seed : all) {
      boolean votes = names.contains(seed.node());
      Path data = votes ? Files.createDirectories(folder.resolve(seed.node())) : null;
      DaemonSettings settings =
          new DaemonSettings(
              seed.node(),
              "failover",
              "region",
              "zone-" + seed.node(),
              HOST,
              0,
              0,
              seed.port(),
              data,
              names,
              seeds,
              null,
              SECRET,
              Sha256.hex(KEY),
              null,
              null,
              null);
      voters.add(new Voter(settings));
    }
  }

  /** Runs both kinds of failure and prints one JSON line each. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory(Path.of(arguments[0]), "failover");
    int entries = arguments.length > 3 ? Integer.parseInt(arguments[3]) : 0;
    FailoverMeasure measure = new FailoverMeasure(folder, Integer.parseInt(arguments[1]), entries);
    int rounds = Integer.parseInt(arguments[2]);
    measure.start();
    if (entries > 0) {
      measure.changes(rounds);
      System.exit(0);
    }
    measure.print("closed", measure.rounds(rounds, true));
    measure.print("silent", measure.rounds(rounds, false));
    System.exit(0);
  }

  private void start() throws InterruptedException {
    voters.forEach(Voter::open);
    Voter leader = leader(null);
    for (ConfigurationChange change : MeasureConfiguration.changes(TEAMS)) {
      leader.node().change(KEY, "load-" + change.hashCode(), change);
    }
    awaitReady();
  }

  /** Makes changes one after the other and prints the leader's metrics of the time to in force. */
  private void changes(int count) throws IOException, InterruptedException {
    Voter leader = leader(null);
    for (int number = 0; number < count; number++) {
      String id = "change-" + number;
      leader.node().change(KEY, id, new ConfigurationChange.DrainUpstream("engine-" + number));
      TimeUnit.MILLISECONDS.sleep(CHANGE_MILLIS);
    }
    int port = leader.node().adminAddress().getPort();
    URI metrics = URI.create("http://" + HOST + ":" + port + "/metrics");
    HttpRequest request = HttpRequest.newBuilder(metrics).build();
    HttpClient.newHttpClient()
        .send(request, HttpResponse.BodyHandlers.ofLines())
        .body()
        .filter(line -> line.contains("in_force_seconds"))
        .forEach(System.out::println);
  }

  private List<Double> rounds(int count, boolean closes) throws InterruptedException {
    List<Double> millis = new ArrayList<>();
    for (int round = 0; round < count; round++) {
      Voter leader = leader(null);
      long begun = System.nanoTime();
      if (closes) {
        leader.close();
      } else {
        leader.silent = true;
      }
      leader(leader);
      millis.add((System.nanoTime() - begun) / 1e6);
      if (closes) {
        leader.open();
      } else {
        leader.silent = false;
      }
      awaitReady();
    }
    return millis;
  }

  private Voter leader(@Nullable Voter except) throws InterruptedException {
    while (true) {
      for (Voter voter : voters) {
        if (voter != except && voter.settings.isVoter() && voter.node().leads().join()) {
          return voter;
        }
      }
      TimeUnit.MILLISECONDS.sleep(2);
    }
  }

  private void awaitReady() throws InterruptedException {
    for (Voter voter : voters) {
      if (!voter.node().await(voter.node()::ready, LIMIT)) {
        throw new IllegalStateException("a voter did not get ready in time");
      }
    }
  }

  private void print(String kind, List<Double> millis) {
    Collections.sort(millis);
    System.out.printf(
        Locale.ROOT,
        "{\"measure\":\"failover\",\"voters\":%d,\"kind\":\"%s\",\"rounds\":%d,"
            + "\"medianMillis\":%.0f,\"worstMillis\":%.0f}%n",
        voters.size(),
        kind,
        millis.size(),
        millis.get(millis.size() / 2),
        millis.get(millis.size() - 1));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      return socket.getLocalPort();
    }
  }

  /** A voter that can be opened again on its data. */
  private final class Voter implements PeerFilter {
    private final DaemonSettings settings;
    private volatile boolean silent;
    private @Nullable DaemonNode node;

    Voter(DaemonSettings settings) {
      this.settings = settings;
    }

    void open() {
      DaemonNode opened = new DaemonNode(settings, clock, this, Throwable::printStackTrace);
      opened.start();
      node = opened;
    }

    void close() {
      node().close();
    }

    DaemonNode node() {
      if (node == null) {
        throw new IllegalStateException("open the voter first");
      }
      return node;
    }

    @Override
    public boolean sendsTo(String other) {
      return !silent;
    }

    @Override
    public boolean receivesFrom(String other) {
      return !silent;
    }
  }
}
