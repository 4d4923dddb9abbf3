package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.skylarkfork.runtime.settings.DaemonSettings;

/** Runs one daemon until it is told to stop. */
@Command(name = "daemon", description = "Runs one daemon; SIGTERM stops it gracefully.")
public final class DaemonCommand implements Callable<Integer> {

  @Required
  @Option(name = "--settings", title = "FILE", description = "Settings in YAML.")
  private String settings;

  @Override
  public Integer call() throws Exception {
    DaemonSettings read = DaemonSettings.reader().read(Path.of(settings));
    System.out.println("skylarkfork " + read.node() + " starts.");
    return ExitCode.SUCCESS;
  }
}
