package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationChange;

/** Drains an upstream or a VM, or takes that back. */
@Command(
    name = "drain",
    description = "Gives an upstream or a VM no new work; --undo takes that back.")
public final class AdminDrainCommand extends AdminOptions {

  @Option(name = "--upstream", title = "ID", description = "Id of the upstream.")
  private @Nullable String upstream;

  @Option(name = "--vm", title = "NODE", description = "Node name of the VM.")
  private @Nullable String vm;

  @Option(name = "--undo", description = "Takes the draining back.")
  private boolean undo;

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (upstream != null && vm == null) {
      return submit(
          undo
              ? new ConfigurationChange.UndrainUpstream(upstream)
              : new ConfigurationChange.DrainUpstream(upstream));
    }
    if (vm != null && upstream == null) {
      return submit(
          undo ? new ConfigurationChange.UndrainVm(vm) : new ConfigurationChange.DrainVm(vm));
    }
    System.err.println("Name either --upstream or --vm.");
    return ExitCode.USAGE;
  }
}
