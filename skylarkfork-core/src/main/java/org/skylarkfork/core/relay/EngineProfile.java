package org.skylarkfork.core.relay;

import java.util.List;

/**
 * The capacity and the models of the engines of a service.
 *
 * @param slots requests that one engine runs concurrently
 * @param memoryTokens tokens of prompts and answers that fit into one engine's memory
 * @param models the models, the smallest first
 */
public record EngineProfile(int slots, long memoryTokens, List<ModelPrice> models) {

  /** Copies the list. */
  public EngineProfile {
    models = List.copyOf(models);
  }
}
