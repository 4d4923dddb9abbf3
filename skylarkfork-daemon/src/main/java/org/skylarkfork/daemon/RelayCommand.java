package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.relay.RelayAdmin;
import org.skylarkfork.runtime.relay.RelayClock;
import org.skylarkfork.runtime.relay.RelayHeaders;
import org.skylarkfork.runtime.relay.RelayNode;
import org.skylarkfork.runtime.relay.RelaySettings;
import org.skylarkfork.runtime.relay.SettingsReloader;
import org.skylarkfork.runtime.settings.RelayFileSettings;
import org.skylarkfork.runtime.startup.DaemonProcess;
import org.skylarkfork.runtime.startup.SettingsFile;

/** Runs one daemon of the relay until it is told to stop. */
@Command(name = "relay", description = "Runs one daemon of the relay; SIGTERM stops it gracefully.")
public final class RelayCommand implements ServerCommand {

  @Required
  @Option(name = "--settings", title = "FILE", description = "Settings in YAML.")
  private String settings;

  @Override
  public int serve(DaemonProcess process) throws IOException, InterruptedException {
    Path file = Path.of(settings);
    RelaySettings read = new SettingsFile<>(file, RelayCommand::parse).read();
    RelayNode node =
        new RelayNode(
            read,
            RelayClock.of(read),
            new RelayHeaders(),
            new RelayAdmin(new Codec()),
            process.end()::halted);
    process.onStop(node::stop);
    node.start();
    new SettingsReloader(file, RelayCommand::parse, read, node::reload).start(process);
    new CountDownLatch(1).await();
    return ExitCode.SUCCESS;
  }

  private static RelaySettings parse(String text) {
    return RelayFileSettings.reader().read(text).toRelay();
  }
}
