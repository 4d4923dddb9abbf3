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
import org.tinylog.Logger;

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
    CountDownLatch broken = new CountDownLatch(1);
    RelaySettings relay = read.toRelay();
    RelayNode node =
        new RelayNode(
            relay,
            RelayClock.of(relay),
            new RelayHeaders(),
            new RelayAdmin(new Codec()),
            failure -> {
              Logger.error(failure, "node: the daemon halts, since an invariant broke");
              broken.countDown();
            });
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "stop"));
    node.start();
    broken.await();
    Runtime.getRuntime().halt(ExitCode.FAILURE);
    return ExitCode.FAILURE;
  }

  private static void stop(RelayNode node) {
    try {
      node.stop();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
