package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.relay.RelayAdmin;
import org.skylarkfork.runtime.relay.RelayClock;
import org.skylarkfork.runtime.relay.RelayHeaders;
import org.skylarkfork.runtime.relay.RelayNode;
import org.skylarkfork.runtime.relay.RelaySettings;
import org.skylarkfork.runtime.settings.RelayFileSettings;
import org.skylarkfork.runtime.settings.SettingsException;
import org.skylarkfork.runtime.startup.ProcessEnd;

/** Runs one daemon of the relay until it is told to stop. */
@Command(name = "relay", description = "Runs one daemon of the relay; SIGTERM stops it gracefully.")
public final class RelayCommand implements Callable<Integer> {

  @Required
  @Option(name = "--settings", title = "FILE", description = "Settings in YAML.")
  private String settings;

  @Override
  public Integer call() throws InterruptedException {
    RelayFileSettings read;
    try {
      read = RelayFileSettings.reader().read(Path.of(settings));
    } catch (SettingsException wrong) {
      wrong.problems().forEach(System.err::println);
      return ExitCode.FAILURE;
    }
    ProcessEnd end = ProcessEnd.ofThisProcess();
    RelaySettings relay = read.toRelay();
    RelayNode node =
        new RelayNode(
            relay,
            RelayClock.of(relay),
            new RelayHeaders(),
            new RelayAdmin(new Codec()),
            failure -> end.failed("node: the daemon halts, since an invariant broke", failure));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, end), "stop"));
    node.start();
    new CountDownLatch(1).await();
    return ExitCode.FAILURE;
  }

  private static void stop(RelayNode node, ProcessEnd end) {
    try {
      node.stop();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    end.stopped("node: stopped as planned");
  }
}
