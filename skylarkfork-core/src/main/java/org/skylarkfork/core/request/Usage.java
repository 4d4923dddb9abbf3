package org.skylarkfork.core.request;

/**
 * Tokens that an engine counted for one attempt.
 *
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens generated
 * @param cachedTokens prompt tokens found in the engine's prefix cache
 */
public record Usage(int promptTokens, int completionTokens, int cachedTokens) {

  /** Nothing was counted. */
  public static final Usage NONE = new Usage(0, 0, 0);
}
