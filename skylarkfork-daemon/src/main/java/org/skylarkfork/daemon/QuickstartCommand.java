package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.skylarkfork.runtime.loop.MonotonicClock;
import org.skylarkfork.runtime.node.DaemonNode;
import org.skylarkfork.runtime.settings.DaemonSettings;

/** Runs one daemon with stand-in upstreams in one process, to try things out. */
@Command(
    name = "quickstart",
    description = "Runs a daemon with stand-in upstreams on loopback, to try things out.")
public final class QuickstartCommand implements Callable<Integer> {

  private static final String LOOPBACK = "127.0.0.1";
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

  @Override
  public Integer call() throws Exception {
    CountDownLatch stopped = new CountDownLatch(1);
    MonotonicClock clock = new MonotonicClock(InstantSource.system(), System::nanoTime);
    try (DaemonNode node = new DaemonNode(settings(), clock, failure -> fail(failure, stopped))) {
      node.start(ExampleConfiguration.configuration());
      String address = LOOPBACK + ":" + node.callerAddress().getPort();
      try (ExampleUpstreams upstreams = new ExampleUpstreams(ZONE, address)) {
        node.awaitUpstreams(6, START_LIMIT);
        return serve("http://" + address, stopped);
      }
    }
  }

  private Integer serve(String base, CountDownLatch stopped)
      throws java.io.IOException, InterruptedException {
    if (once) {
      return new SampleRequests(base, System.out).run() ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }
    System.out.println("Callers: " + base);
    System.out.println("Try:");
    System.out.printf(TRY, base, ExampleConfiguration.TEAM_KEY);
    Runtime.getRuntime().addShutdownHook(new Thread(stopped::countDown));
    stopped.await();
    return ExitCode.SUCCESS;
  }

  private static void fail(Throwable failure, CountDownLatch stopped) {
    System.err.println("The daemon stopped: " + failure);
    failure.printStackTrace();
    stopped.countDown();
  }

  private DaemonSettings settings() {
    return new DaemonSettings(
        "quickstart",
        "quickstart",
        "local",
        ZONE,
        LOOPBACK,
        port,
        0,
        0,
        null,
        List.of(),
        List.of(),
        null,
        "quickstart-session-secret",
        null,
        Duration.ofSeconds(10),
        null,
        null);
  }
}
