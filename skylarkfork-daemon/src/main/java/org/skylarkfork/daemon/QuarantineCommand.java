package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;

/** Shows the requests that the relay refuses because they end upstreams; adds or lifts one. */
@Command(
    name = "quarantine",
    description =
        "Refuses a request at all entries of the relay, or lets it through again; without a"
            + " request, shows which are refused.")
public final class QuarantineCommand implements Callable<Integer> {

  private static final String PATH = "quarantine";

  @Required
  @Option(name = "--control", title = "HOST:PORT", description = "Any control VM.")
  private String control;

  @Option(name = "--lift", description = "Lets the request through again.")
  private boolean lift;

  @Arguments(title = "TEAM/HASH", description = "The request, as logs and the list name it.")
  private @Nullable String request;

  @Override
  public Integer call() throws InterruptedException {
    String wanted = request;
    if (wanted == null) {
      return lift ? usage() : RelayCall.send(control, "GET", PATH);
    }
    int slash = wanted.lastIndexOf('/');
    if (slash < 0) {
      return usage();
    }
    String team = URLEncoder.encode(wanted.substring(0, slash), StandardCharsets.UTF_8);
    String path = PATH + "/" + wanted.substring(slash + 1) + "?team=" + team;
    return RelayCall.send(control, lift ? "DELETE" : "PUT", path);
  }

  private static int usage() {
    System.err.println("Name the request as TEAM/HASH; without a key the team is empty: /HASH.");
    return ExitCode.USAGE;
  }
}
