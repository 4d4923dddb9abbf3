package org.skylarkfork.runtime.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.request.Usage;

/**
 * One frame of an engine's stream.
 *
 * @param requestId request id that the engine gave, or null
 * @param text text of the tokens, may be empty
 * @param tokens how many tokens
 * @param finishReason why the answer ended, or null if it goes on
 * @param usage usage, or null if the frame has none
 */
record DraftChunk(
    @Nullable String requestId,
    String text,
    int tokens,
    @Nullable String finishReason,
    @Nullable Usage usage) {

  /**
   * Parses a frame.
   *
   * @throws IllegalArgumentException if it is not a chunk of the completion protocol
   */
  static DraftChunk parse(ObjectMapper json, String data) {
    JsonNode root;
    try {
      root = json.readTree(data);
    } catch (IOException malformed) {
      throw new IllegalArgumentException("the engine sent a frame that is not JSON", malformed);
    }
    if (root == null || !root.isObject() || root.has("error")) {
      throw new IllegalArgumentException("the engine ended the stream with: " + shortened(data));
    }
    JsonNode choice = root.path("choices").path(0);
    JsonNode delta = choice.path("delta").path("content");
    String text = delta.isTextual() ? delta.asText() : choice.path("text").asText("");
    JsonNode reason = choice.path("finish_reason");
    return new DraftChunk(
        root.path("id").isTextual() ? root.path("id").asText() : null,
        text,
        text.isEmpty() ? 0 : root.path("tokens").asInt(1),
        reason.isTextual() ? reason.asText() : null,
        root.has("usage") ? usage(root.path("usage")) : null);
  }

  static Usage usage(JsonNode node) {
    return new Usage(
        node.path("prompt_tokens").asInt(0),
        node.path("completion_tokens").asInt(0),
        node.path("cached_tokens").asInt(0));
  }

  private static String shortened(String data) {
    int most = 200;
    return data.length() <= most ? data : data.substring(0, most);
  }
}
