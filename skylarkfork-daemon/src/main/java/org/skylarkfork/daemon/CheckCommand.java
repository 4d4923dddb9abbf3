package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.skylarkfork.runtime.settings.DaemonSettings;
import org.skylarkfork.runtime.settings.DaemonSettingsCheck;
import org.skylarkfork.runtime.settings.SettingsException;

/** Checks a daemon's settings without starting it. */
@Command(name = "check", description = "Checks a daemon's settings and names each problem.")
public final class CheckCommand implements Callable<Integer> {

  @Required
  @Option(name = "--settings", title = "FILE", description = "Settings in YAML.")
  private String settings;

  @Override
  public Integer call() {
    try {
      DaemonSettings read = DaemonSettingsCheck.reader().read(Path.of(settings));
      System.out.println("The settings of " + read.node() + " are in order.");
      return ExitCode.SUCCESS;
    } catch (SettingsException wrong) {
      wrong.problems().forEach(System.err::println);
      return ExitCode.FAILURE;
    }
  }
}
