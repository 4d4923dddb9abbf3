package org.skylarkfork.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.skylarkfork.runtime.http.HttpNames;

/** Sends a sample of each kind of request and prints what came of it. */
final class SampleRequests {

  private static final String CHAT =
      """
      {"model":"%s","stream":%s,"max_tokens":24,
       "messages":[{"role":"user","content":"Explain a two minute penalty for drafting."}]}
      """;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final HttpClient client = HttpClient.newHttpClient();
  private final String base;
  private final String relayBase;
  private final PrintStream out;
  private int passed;
  private int failed;

  /**
   * Makes a sender.
   *
   * @param base address of an entry, such as {@code http://127.0.0.1:8080}
   * @param relayBase address of an entry of the relay
   * @param out where the lines go
   */
  SampleRequests(String base, String relayBase, PrintStream out) {
    this.base = base;
    this.relayBase = relayBase;
    this.out = out;
  }

  /**
   * Sends all samples.
   *
   * @return whether each came out as expected
   */
  boolean run() throws IOException, InterruptedException {
    check("chat", chat("auto", false, ExampleConfiguration.TEAM_KEY), 200, "\"content\"");
    check("streamed chat", chat("auto", true, ExampleConfiguration.TEAM_KEY), 200, "[DONE]");
    check("named model", chat("ruling-large", false, ExampleConfiguration.TEAM_KEY), 200, "");
    check("lookup", get("/services/register/chips/1201"), 200, "chips/1201");
    HttpRequest issue = issue("sample-" + System.nanoTime());
    HttpResponse<String> first = check("non-idempotent call", issue, 200, "");
    HttpResponse<String> second = check("its resend", issue, 200, "");
    count("the resend got the first answer", first.body().equals(second.body()));
    check(
        "refused model",
        chat("ruling-large", false, ExampleConfiguration.SMALL_TEAM_KEY),
        403,
        "not-run");
    check("refused key", chat("auto", false, "no-such-key"), 401, "not-run");
    check("relayed lookup", relayed("/register/chips/1201"), 200, "chips/1201");
    out.println(passed + " passed, " + failed + " failed");
    return failed == 0;
  }

  private HttpRequest chat(String model, boolean stream, String key) {
    return to("/v1/chat/completions", key)
        .POST(HttpRequest.BodyPublishers.ofString(CHAT.formatted(model, stream)))
        .build();
  }

  private HttpRequest get(String path) {
    return to(path, ExampleConfiguration.TEAM_KEY).GET().build();
  }

  private HttpRequest relayed(String path) {
    return HttpRequest.newBuilder(URI.create(relayBase + path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + ExampleConfiguration.TEAM_KEY)
        .header(HttpNames.REQUEST_ID, "sample-relayed")
        .build();
  }

  private HttpRequest issue(String key) {
    return to("/services/certificates/issue", ExampleConfiguration.TEAM_KEY)
        .header(HttpNames.IDEMPOTENCY_KEY, key)
        .POST(HttpRequest.BodyPublishers.ofString("{\"flat\":\"12b\"}"))
        .build();
  }

  private HttpRequest.Builder to(String path, String key) {
    return HttpRequest.newBuilder(URI.create(base + path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + key)
        .header("Content-Type", "application/json");
  }

  private HttpResponse<String> check(String name, HttpRequest request, int status, String part)
      throws IOException, InterruptedException {
    long start = System.nanoTime();
    HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
    Duration took = Duration.ofNanos(System.nanoTime() - start);
    boolean good = response.statusCode() == status && response.body().contains(part);
    count(name + describe(response, took), good);
    if (!good) {
      out.println("  expected " + status + " with '" + part + "', got: " + response.body());
    }
    return response;
  }

  private void count(String line, boolean good) {
    out.println((good ? "ok   " : "FAIL ") + line);
    if (good) {
      passed++;
    } else {
      failed++;
    }
  }

  private static String describe(HttpResponse<String> response, Duration took) {
    return String.format(
        ": status %d, model %s, version %s, upstream %s, cost %s micros, run state %s, %d ms",
        response.statusCode(),
        header(response, HttpNames.MODEL),
        header(response, HttpNames.VERSION),
        header(response, HttpNames.UPSTREAM),
        header(response, HttpNames.COST_MICROS),
        header(response, HttpNames.RUN_STATE),
        took.toMillis());
  }

  private static String header(HttpResponse<String> response, String name) {
    return response.headers().firstValue(name).orElse("-");
  }
}
