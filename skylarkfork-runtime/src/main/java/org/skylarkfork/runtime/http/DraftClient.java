package org.skylarkfork.runtime.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.request.RequestKind;
import org.skylarkfork.core.request.Usage;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Sends drafts to engines and reads their streams. */
final class DraftClient {

  private static final String DONE = "[DONE]";
  private static final int OK = 200;

  private final HttpClient client;
  private final ObjectMapper json;
  private final int maxAnswerBytes;

  DraftClient(HttpClient client, ObjectMapper json, int maxAnswerBytes) {
    this.client = client;
    this.json = json;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /** Starts an attempt; its events go through the call. */
  void send(UpstreamEffect.DispatchDraft effect, UpstreamCall call) {
    byte[] body = body(effect);
    String path =
        effect.request().kind() == RequestKind.CHAT ? "/v1/chat/completions" : "/v1/completions";
    Reading reading = new Reading(effect, call);
    // A bound on the whole answer would cut each draft that streams for longer than an engine may
    // be silent; this one is on the time between two reads.
    HttpClient impatient = client.responseTimeout(Duration.ofMillis(effect.timeoutMillis()));
    ExchangeConnection exchange = new ExchangeConnection();
    call.connection(
        exchange
            .observed(StageObserver.observed(impatient, call))
            .headers(
                headers -> {
                  headers.set("Content-Type", "application/json");
                  headers.set("Content-Length", body.length);
                  headers.set(HttpNames.REQUEST_ID, effect.request().requestId());
                  headers.set(HttpNames.ENGINE_PRIORITY, effect.priority());
                  headers.set(HttpNames.RESUME_OFFSET, effect.resumeOffset());
                })
            .post()
            .uri("http://" + effect.host() + ":" + effect.port() + path)
            .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
            .response(reading::read)
            .transform(exchange::closedOnCancel)
            .subscribe(
                ignored -> {},
                failure -> call.fail(String.valueOf(failure.getMessage())),
                () -> call.fail("the stream ended without its final frame")));
  }

  /** Always asks for a stream, so that a cut answer is noticed and can be resumed. */
  private byte[] body(UpstreamEffect.DispatchDraft effect) {
    try {
      ObjectNode root = (ObjectNode) json.readTree(effect.request().body().value());
      root.put("model", effect.version().toString());
      root.put("stream", true);
      root.putObject("stream_options").put("include_usage", true);
      return json.writeValueAsBytes(root);
    } catch (JsonProcessingException checkedAtTheEdge) {
      throw new IllegalStateException("a draft's body is JSON", checkedAtTheEdge);
    } catch (IOException impossible) {
      throw new IllegalStateException("bytes in memory can be read", impossible);
    }
  }

  /** Reads one answer. */
  private final class Reading {
    private final UpstreamEffect.DispatchDraft effect;
    private final UpstreamCall call;
    private final SseReader frames = new SseReader();
    private long offset;
    private long received;
    private @Nullable String echoedId;
    private String finishReason = "stop";
    private Usage usage = Usage.NONE;

    Reading(UpstreamEffect.DispatchDraft effect, UpstreamCall call) {
      this.effect = effect;
      this.call = call;
      this.offset = effect.resumeOffset();
    }

    Publisher<Void> read(HttpClientResponse response, ByteBufFlux content) {
      call.reached(AttemptStage.ANSWER_BEGUN);
      echoedId = response.responseHeaders().get(HttpNames.REQUEST_ID);
      if (response.status().code() != OK) {
        return Refusals.read(effect.request().requestId(), response, content, call);
      }
      return content.doOnNext(this::take).thenMany(Flux.<Void>empty());
    }

    private void take(ByteBuf part) {
      received += part.readableBytes();
      if (received > maxAnswerBytes) {
        throw new IllegalArgumentException("the stream is over " + maxAnswerBytes + " bytes");
      }
      byte[] bytes = new byte[part.readableBytes()];
      part.readBytes(bytes);
      frames.feed(bytes).forEach(this::frame);
      call.holds(frames.heldBytes());
    }

    private void frame(String data) {
      if (data.equals(DONE)) {
        call.end(new UpstreamEvent.DraftFinished(call.attemptId(), echoedId, finishReason, usage));
        return;
      }
      DraftChunk chunk = DraftChunk.parse(json, data);
      if (chunk.requestId() != null) {
        echoedId = chunk.requestId();
      }
      if (chunk.finishReason() != null) {
        finishReason = chunk.finishReason();
      }
      if (chunk.usage() != null) {
        usage = chunk.usage();
      }
      if (chunk.tokens() > 0) {
        call.tell(
            new UpstreamEvent.TokensArrived(
                call.attemptId(), echoedId, offset, chunk.tokens(), chunk.text()));
        offset += chunk.tokens();
      }
    }

    @Override
    public String toString() {
      return effect.attemptId() + " at " + offset;
    }
  }

  /** Returns the text of an error body for a log line. */
  static String errorText(JsonNode root) {
    return root.path("error").path("message").asText("");
  }
}
