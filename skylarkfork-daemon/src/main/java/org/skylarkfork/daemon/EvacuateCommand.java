package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;

/** Evacuates an availability zone of the relay, takes it back, or shows what is evacuated. */
@Command(
    name = "evacuate",
    description = "Evacuates an availability zone of the relay; without a zone, shows which are.")
public final class EvacuateCommand implements Callable<Integer> {

  @Required
  @Option(name = "--control", title = "HOST:PORT", description = "Any control VM.")
  private String control;

  @Option(name = "--undo", description = "Takes the zone back; its upstreams count as cold.")
  private boolean undo;

  @Arguments(title = "ZONE", description = "The availability zone.")
  private @Nullable String zone;

  @Override
  public Integer call() throws InterruptedException {
    String wanted = zone;
    if (undo && wanted == null) {
      System.err.println("Name the zone to take back.");
      return ExitCode.USAGE;
    }
    String zonePath = wanted == null ? "" : "/" + wanted;
    String change = undo ? "DELETE" : "PUT";
    return RelayCall.send(control, wanted == null ? "GET" : change, "evacuations" + zonePath);
  }
}
