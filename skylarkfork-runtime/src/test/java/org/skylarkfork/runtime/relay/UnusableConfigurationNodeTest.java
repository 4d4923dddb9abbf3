package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests a control VM that is sent configurations that can't be meant. */
public final class UnusableConfigurationNodeTest extends RelayNodeHarness {

  private static final String ROUTE =
      "{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\",\"kind\":\"IDEMPOTENT\","
          + "\"services\":[{\"service\":\"s\",\"weight\":1}],\"timeoutMillis\":1000,"
          + "\"maxAttempts\":1}";
  private static final String SERVICE =
      "{\"name\":\"s\",\"healthPath\":\"/\",\"maxConnections\":1}";
  private static final String TEAM = "{\"name\":\"t\",\"keys\":[\"k\"]}";
  private static final String LIMITS =
      "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMillis\":3000,"
          + "\"idleTimeoutMillis\":15000}";
  private static final String COMPLETE =
      "{\"version\":2,\"routes\":["
          + ROUTE
          + "],\"services\":["
          + SERVICE
          + "],\"teams\":["
          + TEAM
          + "],\"limits\":"
          + LIMITS
          + "}";

  private HttpResponse<String> put(String body) throws Exception {
    int port = node().controlAddress().join().getPort();
    URI uri = URI.create("http://127.0.0.1:" + port + "/relay/v1/configuration");
    HttpRequest request =
        HttpRequest.newBuilder(uri).PUT(HttpRequest.BodyPublishers.ofString(body)).build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private static List<String> withoutOneValue() {
    List<String> texts = new ArrayList<>();
    for (String value :
        List.of(
            ROUTE,
            SERVICE,
            TEAM,
            LIMITS,
            "\"r\"",
            "\"h\"",
            "\"IDEMPOTENT\"",
            "\"/\"",
            "\"s\"",
            "\"t\"",
            "\"k\"",
            "{\"service\":\"s\",\"weight\":1}")) {
      texts.add(COMPLETE.replace(value, "null"));
    }
    return texts;
  }

  /** Guards against limits by which each entry refuses its callers. */
  @Test
  public void limitsThatAreNotAboveZeroAreRejected() throws Exception {
    serveWith();
    for (String limit : List.of("-1", "0", "0.5", "2147483648", "1e300", "[]", "\"5\"")) {
      HttpResponse<String> answer = put(COMPLETE.replace("16384", limit));
      assertEquals(answer.statusCode(), 400, limit + ": " + answer.body());
    }
  }

  /** Guards against a control VM that is ended by a configuration with a missing value. */
  @Test
  public void missingValuesAreRejected() throws Exception {
    serveWith();
    for (String text : withoutOneValue()) {
      HttpResponse<String> answer = put(text);
      assertEquals(answer.statusCode(), 400, text + ": " + answer.body());
    }
    assertEquals(put(COMPLETE).statusCode(), 200);
    assertTrue(metricsOf(node()).contains("skylarkfork"));
  }
}
