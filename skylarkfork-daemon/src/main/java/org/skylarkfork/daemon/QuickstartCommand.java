package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.runtime.http.Sha256;
import org.skylarkfork.runtime.loop.MonotonicClock;
import org.skylarkfork.runtime.node.DaemonNode;
import org.skylarkfork.runtime.settings.DaemonSettings;
import org.skylarkfork.runtime.startup.DaemonProcess;
import org.skylarkfork.runtime.transport.PeerFilter;
import org.skylarkfork.standin.rating.StandInRating;
import org.tinylog.Logger;

/** Runs one daemon with stand-in upstreams in one process, to try things out. */
@Command(
    name = "quickstart",
    description = "Runs a daemon with stand-in upstreams on loopback, to try things out.")
public final class QuickstartCommand implements ServerCommand {

  private static final String LOOPBACK = "127.0.0.1";
  private static final String NODE = "quickstart";
  private static final String ZONE = "zone-a";
  private static final Duration START_LIMIT = Duration.ofSeconds(20);

  private static final String TRY =
      """
        curl -s %s/v1/chat/completions -H 'Authorization: Bearer %s' \\
          -d '{"model":"auto","messages":[{"role":"user","content":"Hello"}]}'
      """;

  @Option(name = "--once", description = "Sends a sample of each kind of request and ends.")
  private boolean once;

  @Option(name = "--port", title = "PORT", description = "Port for callers; a free one if absent.")
  private int port;

  private volatile boolean broken;

  @Override
  public int serve(DaemonProcess process) throws Exception {
    CountDownLatch ended = new CountDownLatch(1);
    try {
      return run(process, ended);
    } finally {
      ended.countDown();
    }
  }

  private int run(DaemonProcess process, CountDownLatch ended) throws Exception {
    Path folder = Files.createTempDirectory("skylarkfork-quickstart");
    CountDownLatch stopped = new CountDownLatch(1);
    MonotonicClock clock = new MonotonicClock(InstantSource.system(), System::nanoTime);
    try (StandInRating rating = new StandInRating(ExampleUpstreams.ratings());
        DaemonNode node =
            new DaemonNode(
                settings(folder, rating.start()),
                clock,
                PeerFilter.PASS_ALL,
                failure -> fail(failure, stopped))) {
      node.start();
      String entry = LOOPBACK + ":" + node.callerAddress().getPort();
      try (ExampleUpstreams upstreams = new ExampleUpstreams(ZONE, entry)) {
        configure(node, upstreams.count());
        process.onStop(
            () -> {
              stopped.countDown();
              ended.await();
            });
        process.onHangUp(() -> Logger.info("node: quickstart has no settings to reload"));
        return answer(node, upstreams, folder, stopped);
      }
    } finally {
      DeletedFolders.delete(folder);
    }
  }

  private static void configure(DaemonNode node, int upstreams) throws InterruptedException {
    node.await(node::leads, START_LIMIT);
    node.change(
        ExampleConfiguration.OPERATOR_KEY,
        "quickstart",
        new ConfigurationChange.ReplaceAll(ExampleConfiguration.configuration()));
    boolean ready =
        node.await(node::ready, START_LIMIT)
            && node.await(
                () -> node.knownUpstreams().thenApply(known -> known >= upstreams), START_LIMIT);
    if (!ready) {
      throw new IllegalStateException(
          "The daemon was not ready in time. Try again on a machine that is less busy.");
    }
  }

  private int answer(
      DaemonNode node, ExampleUpstreams upstreams, Path folder, CountDownLatch stopped)
      throws IOException, InterruptedException {
    String base = "http://" + LOOPBACK + ":" + node.callerAddress().getPort();
    if (once) {
      return samples(base, upstreams, folder) ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }
    System.out.println("Callers: " + base);
    System.out.println("Operators: http://" + LOOPBACK + ":" + node.adminAddress().getPort());
    System.out.println("Operator key: " + ExampleConfiguration.OPERATOR_KEY);
    System.out.println("Try:");
    System.out.printf(TRY, base, ExampleConfiguration.TEAM_KEY);
    stopped.await();
    return broken ? ExitCode.FAILURE : ExitCode.SUCCESS;
  }

  private static boolean samples(String base, ExampleUpstreams upstreams, Path folder)
      throws IOException, InterruptedException {
    Path relayFolder = Files.createDirectory(folder.resolve("relay"));
    try (QuickstartRelay relay = new QuickstartRelay(relayFolder)) {
      if (!relay.serve(upstreams.lookupAddress(), START_LIMIT)) {
        throw new IllegalStateException(
            "The relay was not ready in time. Try again on a machine that is less busy.");
      }
      return new SampleRequests(base, relay.base(), System.out).run();
    }
  }

  private void fail(Throwable failure, CountDownLatch stopped) {
    broken = true;
    System.err.println("The daemon stopped: " + failure);
    failure.printStackTrace();
    stopped.countDown();
  }

  private DaemonSettings settings(Path folder, String ratingAddress) {
    return new DaemonSettings(
        NODE,
        "quickstart",
        "local",
        ZONE,
        LOOPBACK,
        port,
        0,
        0,
        folder,
        List.of(NODE),
        List.of(),
        ratingAddress,
        "quickstart-session-secret",
        Sha256.hex(ExampleConfiguration.OPERATOR_KEY),
        Duration.ofSeconds(10),
        null,
        null);
  }
}
