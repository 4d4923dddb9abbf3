package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.concurrent.Callable;

/** Shows the upstreams that name a rate limit: which, since when, and to which entry. */
@Command(
    name = "limits",
    description = "Shows the upstreams of the relay that name a rate limit in their answers.")
public final class LimitsCommand implements Callable<Integer> {

  @Required
  @Option(name = "--control", title = "HOST:PORT", description = "The control VM that leads.")
  private String control;

  @Override
  public Integer call() throws InterruptedException {
    return RelayCall.send(control, "GET", "limits");
  }
}
