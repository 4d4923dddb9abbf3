package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.crash.RequestKey;

/** Shows the requests that are refused because they end upstreams; adds or lifts one. */
@Command(
    name = "quarantine",
    description =
        "Refuses a request at all entries, or lets it through again; without a request, shows"
            + " which are refused. With --control of the relay, else of the daemons.")
public final class QuarantineCommand extends AdminOptions {

  private static final String PATH = "quarantine";
  private static final int HEXADECIMAL = 16;

  @Option(
      name = "--control",
      title = "HOST:PORT",
      description = "Any control VM of the relay, in place of a daemon's --address.")
  private @Nullable String control;

  @Option(name = "--lift", description = "Lets the request through again.")
  private boolean lift;

  @Arguments(title = "TEAM/HASH", description = "The request, as logs and the list name it.")
  private @Nullable String request;

  @Override
  public Integer call() throws IOException, InterruptedException {
    String wanted = request;
    if (wanted == null) {
      return lift ? usage() : list();
    }
    int slash = wanted.lastIndexOf('/');
    if (slash < 0) {
      return usage();
    }
    String team = wanted.substring(0, slash);
    String hash = wanted.substring(slash + 1);
    return control == null ? change(team, hash) : relay(control, team, hash);
  }

  private int list() throws IOException, InterruptedException {
    if (control != null) {
      return RelayCall.send(control, "GET", PATH);
    }
    show(client().get("configuration").path("quarantined"));
    return ExitCode.SUCCESS;
  }

  private int relay(String address, String team, String hash) throws InterruptedException {
    String name = URLEncoder.encode(team, StandardCharsets.UTF_8);
    return RelayCall.send(address, lift ? "DELETE" : "PUT", PATH + "/" + hash + "?team=" + name);
  }

  private int change(String team, String hash) throws IOException, InterruptedException {
    RequestKey key;
    try {
      key = new RequestKey(team, Long.parseUnsignedLong(hash, HEXADECIMAL));
    } catch (NumberFormatException malformed) {
      return usage();
    }
    return submit(
        lift
            ? new ConfigurationChange.LiftQuarantine(key)
            : new ConfigurationChange.QuarantineRequest(key));
  }

  private static int usage() {
    System.err.println(
        "Name the request as TEAM/HASH, the hash in hexadecimal; without a key the team is empty.");
    return ExitCode.USAGE;
  }
}
