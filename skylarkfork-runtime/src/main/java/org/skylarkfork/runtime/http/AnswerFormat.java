package org.skylarkfork.runtime.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.request.AnswerMetadata;
import org.skylarkfork.core.request.RequestKind;
import org.skylarkfork.core.request.Usage;

/** Writes answers, chunks and errors in the completion protocol's JSON. */
final class AnswerFormat {

  /** Final frame of a stream. */
  static final String DONE = "data: [DONE]\n\n";

  private final ObjectMapper json;

  /**
   * Makes a format.
   *
   * @param json writes the JSON
   */
  AnswerFormat(ObjectMapper json) {
    this.json = json;
  }

  /** Returns the error object of a refusal. */
  String error(RoutingError error) {
    ObjectNode root = json.createObjectNode();
    root.set("error", errorObject(error));
    return text(root);
  }

  /** Returns the frame that breaks off a stream. */
  String errorFrame(RoutingError error) {
    return frame(error(error));
  }

  /** Returns a whole answer. */
  String whole(
      RequestKind kind,
      AnswerMetadata facts,
      Instant created,
      String answer,
      String finishReason,
      Usage usage) {
    ObjectNode root =
        head(kind == RequestKind.CHAT ? "chat.completion" : "text_completion", facts, created);
    ObjectNode choice = root.putArray("choices").addObject();
    choice.put("index", 0);
    if (kind == RequestKind.CHAT) {
      ObjectNode message = choice.putObject("message");
      message.put("role", "assistant");
      message.put("content", answer);
    } else {
      choice.put("text", answer);
    }
    choice.put("finish_reason", finishReason);
    root.set("usage", usageObject(usage));
    return text(root);
  }

  /** Returns a frame with tokens of a streamed answer. */
  String chunk(RequestKind kind, AnswerMetadata facts, Instant created, String tokens) {
    return frame(text(chunkObject(kind, facts, created, tokens, null)));
  }

  /** Returns the frame with the finish reason and the usage. */
  String lastChunk(
      RequestKind kind, AnswerMetadata facts, Instant created, String finishReason, Usage usage) {
    ObjectNode root = chunkObject(kind, facts, created, "", finishReason);
    root.set("usage", usageObject(usage));
    return frame(text(root));
  }

  private ObjectNode chunkObject(
      RequestKind kind,
      AnswerMetadata facts,
      Instant created,
      String tokens,
      @Nullable String finishReason) {
    boolean chat = kind == RequestKind.CHAT;
    ObjectNode root = head(chat ? "chat.completion.chunk" : "text_completion", facts, created);
    ObjectNode choice = root.putArray("choices").addObject();
    choice.put("index", 0);
    if (chat) {
      ObjectNode delta = choice.putObject("delta");
      if (!tokens.isEmpty()) {
        delta.put("content", tokens);
      }
    } else {
      choice.put("text", tokens);
    }
    choice.put("finish_reason", finishReason);
    return root;
  }

  private ObjectNode head(String object, AnswerMetadata facts, Instant created) {
    ObjectNode root = json.createObjectNode();
    root.put("id", facts.requestId());
    root.put("object", object);
    root.put("created", created.getEpochSecond());
    root.put("model", facts.model() + ":" + facts.version());
    return root;
  }

  private ObjectNode usageObject(Usage usage) {
    ObjectNode node = json.createObjectNode();
    node.put("prompt_tokens", usage.promptTokens());
    node.put("completion_tokens", usage.completionTokens());
    node.put("total_tokens", usage.promptTokens() + usage.completionTokens());
    return node;
  }

  private ObjectNode errorObject(RoutingError error) {
    ObjectNode node = json.createObjectNode();
    node.put("message", error.message());
    node.put("type", error.kind().type());
    node.putNull("param");
    node.put("code", error.kind().name().toLowerCase(java.util.Locale.ROOT));
    node.put("run_state", error.runState().headerValue());
    return node;
  }

  private static String frame(String data) {
    return "data: " + data + "\n\n";
  }

  private String text(ObjectNode root) {
    try {
      return json.writeValueAsString(root);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException("a tree can always be written", impossible);
    }
  }
}
