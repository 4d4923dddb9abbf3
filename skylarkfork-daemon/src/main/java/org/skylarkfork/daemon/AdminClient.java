package org.skylarkfork.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.http.HttpNames;

/** Calls the admin API of one daemon. */
final class AdminClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int MOST_TRIES = 3;
  private static final int FIRST_ERROR = 400;

  private final HttpClient client = HttpClient.newHttpClient();
  private final ObjectMapper json = new ObjectMapper();
  private final Codec codec = new Codec();
  private final String base;
  private final String key;

  /**
   * Makes a client.
   *
   * @param address IP number and port of a daemon's operators' listener
   * @param key an operator's key
   */
  AdminClient(String address, String key) {
    this.base = "http://" + address + "/admin/v1/";
    this.key = key;
  }

  /** Returns a view. */
  JsonNode get(String path) throws IOException, InterruptedException {
    return send(to(path).GET().build());
  }

  /** Posts a JSON body. */
  JsonNode post(String path, String body) throws IOException, InterruptedException {
    return send(to(path).POST(HttpRequest.BodyPublishers.ofString(body)).build());
  }

  /**
   * Submits a change, and once more under the same id if the answer was lost.
   *
   * @param change the change
   * @param changeId id of the change, or null for a new one
   * @param expectedRevision revision that the operator saw, or null for whichever it is
   */
  JsonNode change(
      ConfigurationChange change, @Nullable String changeId, @Nullable Long expectedRevision)
      throws IOException, InterruptedException {
    return change(codec.toJson(change), changeId, expectedRevision);
  }

  /** Submits a change given as JSON. */
  JsonNode change(String change, @Nullable String changeId, @Nullable Long expectedRevision)
      throws IOException, InterruptedException {
    String id = changeId == null ? UUID.randomUUID().toString() : changeId;
    HttpRequest.Builder request =
        to("changes")
            .header(HttpNames.CHANGE_ID, id)
            .POST(HttpRequest.BodyPublishers.ofString("{\"change\":" + change + "}"));
    if (expectedRevision != null) {
      request.header("If-Match", "\"" + expectedRevision + "\"");
    }
    return resent(request.build());
  }

  private JsonNode resent(HttpRequest request) throws IOException, InterruptedException {
    for (int tries = 1; ; tries++) {
      try {
        return send(request);
      } catch (IOException lost) {
        if (lost instanceof AdminException || tries >= MOST_TRIES) {
          throw lost;
        }
      }
    }
  }

  private HttpRequest.Builder to(String path) {
    return HttpRequest.newBuilder(URI.create(base + path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + key)
        .header("Content-Type", "application/json");
  }

  private JsonNode send(HttpRequest request) throws IOException, InterruptedException {
    HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
    JsonNode body = json.readTree(response.body());
    if (response.statusCode() >= FIRST_ERROR) {
      throw new AdminException(response.statusCode(), message(response.statusCode(), body));
    }
    return body;
  }

  private static String message(int status, JsonNode body) {
    StringBuilder text = new StringBuilder("Refused with status " + status + ": ");
    text.append(body.path("error").path("message").asText(body.toString()));
    for (JsonNode problem : body.path("problems")) {
      text.append(System.lineSeparator()).append("  ").append(problem);
    }
    return text.toString();
  }

  /** A refusal of the daemon; sending the same again changes nothing. */
  static final class AdminException extends IOException {
    private static final long serialVersionUID = 1L;

    private final int status;

    AdminException(int status, String message) {
      super(message);
      this.status = status;
    }

    /** Returns the HTTP status. */
    int status() {
      return status;
    }
  }
}
