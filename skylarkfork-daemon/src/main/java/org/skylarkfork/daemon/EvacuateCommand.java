package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;

/** Evacuates an availability zone of the relay, takes it back, or shows what is evacuated. */
@Command(
    name = "evacuate",
    description = "Evacuates an availability zone of the relay; without a zone, shows which are.")
public final class EvacuateCommand implements Callable<Integer> {

  /** Longest wait for an answer; a control VM answers within a second or says that it can't. */
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private static final int OK = 200;

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
    String path = wanted == null ? "" : "/" + wanted;
    String change = undo ? "DELETE" : "PUT";
    try {
      return send(wanted == null ? "GET" : change, path);
    } catch (IOException | IllegalArgumentException unreachable) {
      System.err.println(
          "The control VM can't be asked: " + unreachable.getMessage() + ". Name another one.");
      return ExitCode.FAILURE;
    }
  }

  private int send(String method, String path) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + control + "/relay/v1/evacuations" + path))
            .timeout(TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.noBody())
            .build();
    HttpResponse<String> answer =
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    boolean done = answer.statusCode() == OK;
    (done ? System.out : System.err).println(answer.body());
    return done ? ExitCode.SUCCESS : ExitCode.FAILURE;
  }
}
