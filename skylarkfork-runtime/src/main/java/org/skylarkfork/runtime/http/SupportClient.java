package org.skylarkfork.runtime.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.OrderOutcome;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Small calls besides the requests: ratings, cancels and orders. */
final class SupportClient {

  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int MAX_REPLY_BYTES = 1024 * 1024;
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);

  private final HttpClient client;
  private final ObjectMapper json;
  private final @Nullable String ratingAddress;
  private final Consumer<Event> events;

  SupportClient(
      HttpClient client,
      ObjectMapper json,
      @Nullable String ratingAddress,
      Consumer<Event> events) {
    this.client = client;
    this.json = json;
    this.ratingAddress = ratingAddress;
    this.events = events;
  }

  void rate(UpstreamEffect.RequestRating effect) {
    if (ratingAddress == null) {
      missing(effect, "no rating service is set; name one in 'ratingService'");
      return;
    }
    ObjectNode body = json.createObjectNode();
    body.put("requestId", effect.requestId());
    body.put("model", effect.version().model());
    body.put("version", effect.version().version());
    body.put("prompt", effect.prompt());
    body.put("answer", effect.answer());
    post("http://" + ratingAddress + "/v1/ratings", body, Duration.ofMillis(effect.timeoutMillis()))
        .subscribe(
            reply -> rated(effect, reply),
            failure -> missing(effect, String.valueOf(failure.getMessage())));
  }

  private void rated(UpstreamEffect.RequestRating effect, Reply reply) {
    JsonNode score = reply.body().path("score");
    if (reply.status() == OK && score.isNumber()) {
      events.accept(
          new UpstreamEvent.Rated(effect.requestId(), effect.attemptId(), score.asDouble()));
    } else {
      missing(effect, "the rating service answered " + reply.status() + " without a score");
    }
  }

  private void missing(UpstreamEffect.RequestRating effect, String detail) {
    events.accept(new UpstreamEvent.RatingMissing(effect.requestId(), effect.attemptId(), detail));
  }

  /** Tells an engine to stop work on a request; a lost cancel only costs engine time. */
  void cancel(UpstreamEffect.DispatchDraft effect) {
    ObjectNode body = json.createObjectNode();
    body.put("requestId", effect.request().requestId());
    post(url(effect.host(), effect.port(), "/v1/cancel"), body, CANCEL_TIMEOUT)
        .subscribe(reply -> {}, failure -> {});
  }

  void order(UpstreamEffect.SendOrder effect) {
    ObjectNode body = json.createObjectNode();
    body.put("orderId", effect.orderId());
    body.put("fencingNumber", effect.fencingNumber());
    body.put("kind", effect.kind());
    body.put("model", effect.version().model());
    body.put("version", effect.version().version());
    body.put(effect.kind().equals("role") ? "role" : "adapter", effect.argument());
    post(
            url(effect.host(), effect.port(), "/v1/orders"),
            body,
            Duration.ofMillis(effect.timeoutMillis()))
        .subscribe(
            reply -> ordered(effect, reply),
            failure ->
                events.accept(
                    new UpstreamEvent.OrderAnswered(
                        effect.orderId(),
                        OrderOutcome.UNKNOWN,
                        null,
                        String.valueOf(failure.getMessage()))));
  }

  private void ordered(UpstreamEffect.SendOrder effect, Reply reply) {
    JsonNode newest = reply.body().path("newest");
    events.accept(
        new UpstreamEvent.OrderAnswered(
            effect.orderId(),
            outcome(reply.status()),
            newest.isNumber() ? newest.asLong() : null,
            reply.body().toString()));
  }

  private static OrderOutcome outcome(int status) {
    if (status == OK) {
      return OrderOutcome.DONE;
    }
    if (status == CONFLICT) {
      return OrderOutcome.STALE;
    }
    return status < 500 ? OrderOutcome.REFUSED : OrderOutcome.UNKNOWN;
  }

  private Mono<Reply> post(String uri, ObjectNode body, Duration timeout) {
    byte[] bytes = bytes(body);
    ExchangeConnection exchange = new ExchangeConnection();
    return exchange
        .observed(client)
        .headers(
            headers -> {
              headers.set("Content-Type", "application/json");
              headers.set("Content-Length", bytes.length);
            })
        .post()
        .uri(uri)
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(bytes)))
        .response(
            (response, content) ->
                BoundedBody.collect(content, MAX_REPLY_BYTES, SupportClient::tooLong)
                    .map(answer -> new Reply(response.status().code(), tree(answer))))
        .transform(exchange::closedOnCancel)
        .single()
        .timeout(timeout);
  }

  private static IllegalArgumentException tooLong() {
    return new IllegalArgumentException("the answer is over " + MAX_REPLY_BYTES + " bytes");
  }

  private static String url(String host, int port, String path) {
    return "http://" + host + ":" + port + path;
  }

  private JsonNode tree(byte[] bytes) {
    try {
      JsonNode root = json.readTree(bytes);
      return root == null ? json.createObjectNode() : root;
    } catch (IOException malformed) {
      return json.createObjectNode();
    }
  }

  private byte[] bytes(ObjectNode body) {
    try {
      return json.writeValueAsBytes(body);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException("a tree can always be written", impossible);
    }
  }

  private record Reply(int status, JsonNode body) {}
}
