package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.concurrent.Callable;

/** Shows the upstreams that have asked an entry to send nothing for now, and until when. */
@Command(
    name = "backoffs",
    description = "Shows the upstreams of the relay that have asked an entry for a backoff.")
public final class BackoffsCommand implements Callable<Integer> {

  @Required
  @Option(
      name = "--metrics",
      title = "HOST:PORT",
      description = "The metrics address of the entry; each entry has backoffs of its own.")
  private String metrics;

  @Override
  public Integer call() throws InterruptedException {
    return RelayCall.send(metrics, "GET", "backoffs");
  }
}
