package org.skylarkfork.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.http.ExchangeConnection;
import org.skylarkfork.runtime.http.HttpNames;
import org.skylarkfork.standin.text.AnswerText;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/** Sends a request to an entry once and judges the answer. */
final class LoadSender implements AutoCloseable {

  private static final int OK = 200;
  private static final int MAX_CONNECTIONS = 20_000;
  private static final String DONE = "data: [DONE]";
  private static final Duration GRACE = Duration.ofSeconds(5);

  private final ObjectMapper json = new ObjectMapper();
  private final ConnectionProvider pool =
      ConnectionProvider.builder("load")
          .maxConnections(MAX_CONNECTIONS)
          .pendingAcquireMaxCount(-1)
          .maxIdleTime(Duration.ofSeconds(20))
          .build();
  private final HttpClient client = HttpClient.create(pool).disableRetry(true);
  private final LoadSettings settings;

  /**
   * Tokens that entries gave, by session; callers send them back, so a session outlives entries.
   */
  private final Map<String, String> tokens = new ConcurrentHashMap<>();

  LoadSender(LoadSettings settings) {
    this.settings = settings;
  }

  /** Sends a request; the reply never fails. */
  Mono<LoadReply> send(LoadCall call, String entry) {
    byte[] body = body(call);
    AtomicLong first = new AtomicLong();
    HttpMethod method = call.kind() == LoadKind.LOOKUP ? HttpMethod.GET : HttpMethod.POST;
    ExchangeConnection exchange = new ExchangeConnection();
    return exchange
        .observed(client)
        .headers(headers -> headers(headers, call, body.length))
        .request(method)
        .uri("http://" + entry + path(call))
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
        .responseSingle(
            (response, content) -> {
              first.set(System.nanoTime());
              return content
                  .asByteArray()
                  .defaultIfEmpty(new byte[0])
                  .map(bytes -> judge(call, response, bytes, first.get()));
            })
        .transform(exchange::closedOnCancel)
        .timeout(settings.deadline().plus(GRACE))
        .onErrorResume(failure -> Mono.just(LoadReply.lost(String.valueOf(failure))));
  }

  private void headers(HttpHeaders headers, LoadCall call, int length) {
    headers.set("Authorization", "Bearer " + settings.teamKeys().get(call.team()));
    headers.set("Content-Type", "application/json");
    headers.set("Content-Length", length);
    headers.set(HttpNames.IDEMPOTENCY_KEY, call.key());
    headers.set(HttpNames.DEADLINE_MILLIS, settings.deadline().toMillis());
    if (call.session() != null) {
      headers.set(HttpNames.SESSION, call.session());
      String token = tokens.get(call.session());
      if (token != null) {
        headers.set(HttpNames.SESSION_TOKEN, token);
      }
    }
  }

  private String path(LoadCall call) {
    return switch (call.kind()) {
      case DRAFT -> "/v1/completions";
      case LOOKUP -> "/services/" + settings.lookupService() + "/" + call.prompt();
      case ISSUE -> "/services/" + settings.issueService() + "/" + call.prompt();
    };
  }

  private byte[] body(LoadCall call) {
    if (call.kind() == LoadKind.LOOKUP) {
      return new byte[0];
    }
    ObjectNode root = json.createObjectNode();
    if (call.kind() == LoadKind.DRAFT) {
      root.put("model", settings.model());
      root.put("prompt", call.prompt());
      root.put("stream", true);
    } else {
      root.put("about", call.prompt());
    }
    return root.toString().getBytes(StandardCharsets.UTF_8);
  }

  private LoadReply judge(LoadCall call, HttpClientResponse response, byte[] body, long first) {
    HttpHeaders headers = response.responseHeaders();
    String token = headers.get(HttpNames.SESSION_TOKEN);
    if (call.session() != null && token != null) {
      tokens.put(call.session(), token);
    }
    String text = new String(body, StandardCharsets.UTF_8);
    int status = response.status().code();
    Judged judged =
        status == OK
            ? answered(call, text)
            : new Judged(state(headers.get(HttpNames.RUN_STATE)), text, -1);
    String model = headers.get(HttpNames.MODEL);
    return new LoadReply(
        judged.outcome(),
        status,
        headers.get(HttpNames.REQUEST_ID),
        model == null ? null : model + ":" + headers.get(HttpNames.VERSION),
        headers.get(HttpNames.NOTICE) != null,
        judged.costMicros() >= 0 ? judged.costMicros() : number(headers, HttpNames.COST_MICROS, 0),
        first,
        number(headers, HttpNames.RETRY_AFTER_MILLIS, -1),
        judged.detail());
  }

  private Judged answered(LoadCall call, String text) {
    if (call.kind() == LoadKind.DRAFT) {
      return draft(call, text);
    }
    return text.contains(call.prompt())
        ? new Judged(LoadOutcome.WHOLE, "", -1)
        : new Judged(LoadOutcome.FOREIGN, text, -1);
  }

  /** A stream that ends without its final frame must carry an explicit error, or it is lost. */
  private Judged draft(LoadCall call, String stream) {
    StringBuilder answer = new StringBuilder();
    long cost = -1;
    for (String line : stream.split("\n")) {
      if (line.startsWith(": ") && line.contains("cost-micros=")) {
        cost = Long.parseLong(line.substring(line.indexOf("cost-micros=") + 12).strip());
      } else if (line.startsWith(DONE)) {
        return new Judged(outcome(AnswerText.check(call.prompt(), answer.toString())), "", cost);
      } else if (line.startsWith("data: ")) {
        JsonNode frame = frame(line.substring("data: ".length()));
        if (frame.has("error")) {
          JsonNode error = frame.path("error");
          return new Judged(state(error.path("run_state").asText()), error.toString(), cost);
        }
        answer.append(frame.path("choices").path(0).path("text").asText(""));
      }
    }
    return new Judged(LoadOutcome.CONNECTION_LOST, "no final frame", cost);
  }

  private JsonNode frame(String data) {
    try {
      return json.readTree(data);
    } catch (IOException malformed) {
      return json.createObjectNode();
    }
  }

  private static LoadOutcome outcome(AnswerText.Finding finding) {
    return switch (finding) {
      case WHOLE -> LoadOutcome.WHOLE;
      case FOREIGN -> LoadOutcome.FOREIGN;
      case CUT -> LoadOutcome.CUT;
      case DOUBLED -> LoadOutcome.DOUBLED;
    };
  }

  private static LoadOutcome state(@Nullable String header) {
    if ("not-run".equals(header)) {
      return LoadOutcome.NOT_RUN;
    }
    return "ran".equals(header) ? LoadOutcome.RAN : LoadOutcome.UNKNOWN;
  }

  private static long number(HttpHeaders headers, String name, long byDefault) {
    String value = headers.get(name);
    return value == null ? byDefault : Long.parseLong(value);
  }

  @Override
  public void close() {
    pool.dispose();
  }

  private record Judged(LoadOutcome outcome, String detail, long costMicros) {}
}
