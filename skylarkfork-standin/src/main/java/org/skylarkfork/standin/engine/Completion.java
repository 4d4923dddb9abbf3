package org.skylarkfork.standin.engine;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * An answer or a chunk of one in the OpenAI-style protocol.
 *
 * @param id the id of the request
 * @param object the kind of object, as the protocol names it
 * @param created the seconds since 1970, or 0
 * @param model the model and version, with a colon between
 * @param tokens the tokens in a chunk of a stream; null in a whole answer
 * @param choices the only choice
 * @param usage the tokens used; null except in a whole answer and in the last chunk
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record Completion(
    String id,
    String object,
    long created,
    String model,
    @Nullable Integer tokens,
    List<Choice> choices,
    @Nullable Usage usage) {

  /** The part of an answer that holds its text in one of three places. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Choice(
      int index,
      @Nullable Message message,
      @Nullable Message delta,
      @Nullable String text,
      @JsonProperty("finish_reason") @JsonInclude @Nullable String finishReason) {}

  /** The text of a chat answer. */
  record Message(String role, String content) {}

  /** The tokens used by a request. */
  record Usage(
      @JsonProperty("prompt_tokens") int promptTokens,
      @JsonProperty("completion_tokens") int completionTokens,
      @JsonProperty("total_tokens") int totalTokens,
      @JsonProperty("cached_tokens") int cachedTokens) {}
}
