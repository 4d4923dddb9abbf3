package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.skylarkfork.runtime.loop.MonotonicClock;
import org.skylarkfork.runtime.node.DaemonNode;
import org.skylarkfork.runtime.settings.DaemonSettings;
import org.skylarkfork.runtime.settings.DaemonSettingsCheck;
import org.skylarkfork.runtime.startup.ProcessEnd;
import org.skylarkfork.runtime.transport.PeerFilter;

/** Runs one daemon until it is told to stop. */
@Command(name = "daemon", description = "Runs one daemon; SIGTERM stops it gracefully.")
public final class DaemonCommand implements Callable<Integer> {

  private static final Duration LONGEST_REQUEST = Duration.ofSeconds(120);

  @Required
  @Option(name = "--settings", title = "FILE", description = "Settings in YAML.")
  private String settings;

  @Override
  public Integer call() throws Exception {
    DaemonSettings read = DaemonSettingsCheck.reader().read(Path.of(settings));
    ProcessEnd end = ProcessEnd.ofThisProcess();
    MonotonicClock clock = new MonotonicClock(InstantSource.system(), System::nanoTime);
    DaemonNode node =
        new DaemonNode(
            read,
            clock,
            PeerFilter.PASS_ALL,
            failure -> end.failed("node: the daemon halts, since an invariant broke", failure));
    node.start();
    Thread hook = new Thread(() -> stopGracefully(node, read, end), "stop");
    Runtime.getRuntime().addShutdownHook(hook);
    new CountDownLatch(1).await();
    return ExitCode.FAILURE;
  }

  private static void stopGracefully(DaemonNode node, DaemonSettings settings, ProcessEnd end) {
    try {
      Duration limit = settings.entryListLifetime().plus(LONGEST_REQUEST);
      boolean whole = node.stop(limit);
      end.stopped("node: Stopped; " + (whole ? "every request was finished." : "time ran out."));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
