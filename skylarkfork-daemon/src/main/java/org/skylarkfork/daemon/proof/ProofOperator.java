package org.skylarkfork.daemon.proof;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.daemon.ExampleConfiguration;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.http.HttpNames;

/** Submits changes as operators do and keeps every answer. */
final class ProofOperator {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final long PAUSE_MILLIS = 100;
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int HISTORY = 2000;

  private final HttpClient client = HttpClient.newHttpClient();
  private final ObjectMapper json = new ObjectMapper();
  private final Codec codec = new Codec();
  private final List<ProofDaemon> daemons;
  private final List<OperatorAnswer> answers = new CopyOnWriteArrayList<>();
  private final String run;
  private int changes;

  ProofOperator(List<ProofDaemon> daemons, String run) {
    this.daemons = daemons;
    this.run = run;
  }

  List<OperatorAnswer> answers() {
    return List.copyOf(answers);
  }

  synchronized String newId() {
    changes++;
    return run + "-change-" + changes;
  }

  /** Sends a change to one daemon and keeps what came back. */
  OperatorAnswer send(
      ProofDaemon daemon, String id, ConfigurationChange change, @Nullable Long expected)
      throws InterruptedException {
    HttpRequest.Builder request =
        to(daemon, "changes")
            .header(HttpNames.CHANGE_ID, id)
            .POST(HttpRequest.BodyPublishers.ofString("{\"change\":" + codec.toJson(change) + "}"));
    if (expected != null) {
      request.header("If-Match", "\"" + expected + "\"");
    }
    OperatorAnswer answer = answer(id, expected, request.build());
    answers.add(answer);
    return answer;
  }

  private OperatorAnswer answer(String id, @Nullable Long expected, HttpRequest request)
      throws InterruptedException {
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      JsonNode body = json.readTree(response.body());
      OperatorAnswer.Outcome outcome = outcome(response, body);
      long revision =
          outcome == OperatorAnswer.Outcome.ACCEPTED ? body.path("revision").asLong() : 0;
      return new OperatorAnswer(id, expected, outcome, revision, Instant.now(), response.body());
    } catch (IOException lost) {
      return new OperatorAnswer(
          id, expected, OperatorAnswer.Outcome.LOST, 0, Instant.now(), lost.toString());
    }
  }

  private static OperatorAnswer.Outcome outcome(HttpResponse<String> response, JsonNode body) {
    if (response.statusCode() == OK) {
      return OperatorAnswer.Outcome.ACCEPTED;
    }
    if (response.statusCode() == CONFLICT && body.has("present")) {
      return OperatorAnswer.Outcome.CONFLICT;
    }
    boolean notRun =
        response.headers().firstValue(HttpNames.RUN_STATE).orElse("not-run").equals("not-run");
    return notRun ? OperatorAnswer.Outcome.REFUSED : OperatorAnswer.Outcome.LOST;
  }

  /**
   * Sends a change under one id until it is accepted.
   *
   * @return its answer
   * @throws IllegalStateException if it is not accepted within a minute
   */
  OperatorAnswer accept(ConfigurationChange change) throws InterruptedException {
    String id = newId();
    long end = System.nanoTime() + ProofCluster.RECOVERY_LIMIT.toNanos();
    String last = "no daemon runs";
    for (int turn = 0; System.nanoTime() - end < 0; turn++) {
      ProofDaemon daemon = daemons.get(turn % daemons.size());
      if (daemon.running()) {
        OperatorAnswer answer = send(daemon, id, change, null);
        if (answer.outcome() == OperatorAnswer.Outcome.ACCEPTED) {
          return answer;
        }
        last = answer.detail();
      }
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    }
    throw new IllegalStateException("The change " + change + " was not accepted: " + last);
  }

  /** Returns a view of any daemon that answers, or null if none does. */
  @Nullable JsonNode view(String path) throws InterruptedException {
    for (ProofDaemon daemon : daemons) {
      JsonNode found = daemon.running() ? view(daemon, path) : null;
      if (found != null) {
        return found;
      }
    }
    return null;
  }

  /** Returns a view of a daemon, or null if it doesn't answer. */
  @Nullable JsonNode view(ProofDaemon daemon, String path) throws InterruptedException {
    try {
      HttpResponse<String> response =
          client.send(to(daemon, path).GET().build(), HttpResponse.BodyHandlers.ofString());
      return response.statusCode() == OK ? json.readTree(response.body()) : null;
    } catch (IOException unreachable) {
      return null;
    }
  }

  private static HttpRequest.Builder to(ProofDaemon daemon, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + daemon.operators() + "/admin/v1/" + path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + ExampleConfiguration.OPERATOR_KEY)
        .header("Content-Type", "application/json");
  }

  /** Returns the accepted changes' revisions by their ids. */
  Map<String, Long> history() throws InterruptedException {
    JsonNode found = view("revisions?most=" + HISTORY);
    Map<String, Long> revisions = new HashMap<>();
    if (found != null) {
      found
          .path("changes")
          .forEach(
              change ->
                  revisions.put(
                      change.path("changeId").asText(), change.path("revision").asLong()));
    }
    return revisions;
  }

  /** Returns the present revision, or 0 if nobody tells. */
  long revision() throws InterruptedException {
    JsonNode configuration = view("configuration");
    return configuration == null ? 0 : configuration.path("revision").asLong();
  }

  /** Returns whether a revision is in force everywhere. */
  boolean inForce(long revision) throws InterruptedException {
    JsonNode state = view("in-force/" + revision);
    return state != null && state.path("inForce").asBoolean();
  }
}
