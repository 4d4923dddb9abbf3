package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.configuration.ModelVersion;

/** Withdraws a version, or takes a withdrawal back. */
@Command(
    name = "withdraw",
    description = "Withdraws a version, so that it gets no new work; --undo takes that back.")
public final class AdminWithdrawCommand extends AdminOptions {

  @Required
  @Option(name = "--model", title = "MODEL", description = "Name of the model.")
  private String model;

  @Required
  @Option(name = "--version", title = "VERSION", description = "Name of the version.")
  private String version;

  @Option(
      name = "--replacement",
      title = "VERSION",
      description = "Version that new work gets instead; the one before it if absent.")
  private @Nullable String replacement;

  @Option(name = "--undo", description = "Takes the withdrawal back.")
  private boolean undo;

  @Override
  public Integer call() throws IOException, InterruptedException {
    ModelVersion named = new ModelVersion(model, version);
    return submit(
        undo
            ? new ConfigurationChange.ReinstateVersion(named)
            : new ConfigurationChange.WithdrawVersion(named, replacement));
  }
}
