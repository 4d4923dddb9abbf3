package org.skylarkfork.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * The body of a call in the OpenAI-style protocol.
 *
 * @param model the model and version, with a colon between
 * @param messages the messages of a chat; null for a plain completion
 * @param prompt the prompt of a plain completion; null for a chat
 * @param stream whether the answer is streamed
 * @param maxTokens the most tokens wanted; the engine's limit if null
 */
record CompletionBody(
    @Nullable String model,
    @Nullable List<ChatMessage> messages,
    @Nullable JsonNode prompt,
    boolean stream,
    @JsonProperty("max_tokens") @Nullable Integer maxTokens) {

  /** One message of a chat; its content is text or a list of parts. */
  record ChatMessage(@Nullable String role, @Nullable JsonNode content) {

    private String line() {
      return role + ": " + textOf(content);
    }
  }

  /** Gives the prompt as one text; the lines of a chat follow each other. */
  String promptText() {
    if (messages != null) {
      return messages.stream().map(ChatMessage::line).collect(Collectors.joining("\n"));
    }
    return textOf(prompt);
  }

  /** Gives the number of tokens to write at most. */
  int tokensUpTo(int limit) {
    return maxTokens == null ? limit : Math.max(1, Math.min(limit, maxTokens));
  }

  private static String textOf(@Nullable JsonNode content) {
    if (content == null || content.isNull()) {
      return "";
    }
    if (content.isTextual()) {
      return content.asText();
    }
    StringBuilder text = new StringBuilder();
    for (JsonNode part : content) {
      text.append(part.isTextual() ? part.asText() : part.path("text").asText());
    }
    return text.toString();
  }
}
