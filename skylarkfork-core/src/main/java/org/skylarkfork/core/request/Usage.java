package org.skylarkfork.core.request;

/**
 * Token counts that an engine reported for one attempt.
 *
 * @param promptTokens number of tokens of the prompt
 * @param completionTokens number of generated tokens
 * @param cachedTokens number of prompt tokens found in the engine's prefix cache
 */
public record Usage(int promptTokens, int completionTokens, int cachedTokens) {

  /** Usage without any counted tokens. */
  public static final Usage NONE = new Usage(0, 0, 0);
}
