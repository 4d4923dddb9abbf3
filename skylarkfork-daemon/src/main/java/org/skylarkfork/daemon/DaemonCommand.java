package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import org.skylarkfork.runtime.loop.MonotonicClock;
import org.skylarkfork.runtime.node.DaemonNode;
import org.skylarkfork.runtime.settings.DaemonSettings;
import org.skylarkfork.runtime.settings.DaemonSettingsCheck;
import org.skylarkfork.runtime.startup.DaemonProcess;
import org.skylarkfork.runtime.startup.SettingsFile;
import org.skylarkfork.runtime.startup.SettingsParser;
import org.skylarkfork.runtime.transport.PeerFilter;
import org.tinylog.Logger;

/** Runs one daemon until it is told to stop. */
@Command(name = "daemon", description = "Runs one daemon; SIGTERM stops it gracefully.")
public final class DaemonCommand implements ServerCommand {

  private static final Duration LONGEST_REQUEST = Duration.ofSeconds(120);

  @Required
  @Option(name = "--settings", title = "FILE", description = "Settings in YAML.")
  private String settings;

  @Override
  public int serve(DaemonProcess process) throws IOException, InterruptedException {
    SettingsParser<DaemonSettings> parser = text -> DaemonSettingsCheck.reader().read(text);
    DaemonSettings read = new SettingsFile<>(Path.of(settings), parser).read();
    MonotonicClock clock = new MonotonicClock(InstantSource.system(), System::nanoTime);
    DaemonNode node = new DaemonNode(read, clock, PeerFilter.PASS_ALL, process.end()::halted);
    node.start();
    process.onStop(() -> stopGracefully(node, read));
    process.onHangUp(
        () -> Logger.info("node: settings are read at the start only; restart to change them"));
    new CountDownLatch(1).await();
    return ExitCode.SUCCESS;
  }

  private static void stopGracefully(DaemonNode node, DaemonSettings settings)
      throws InterruptedException {
    Duration limit = settings.entryListLifetime().plus(LONGEST_REQUEST);
    boolean whole = node.stop(limit);
    Logger.info("node: Stopped; {}.", whole ? "every request was finished" : "time ran out");
  }
}
