package org.skylarkfork.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates which prompt prefixes one engine has in its cache.
 *
 * <p>Engines don't report the contents of their cache. They evict the least recently used prefixes
 * once their memory is full, so a prefix counts as cached until the engine has read about as many
 * tokens after it as fit into its memory.
 */
public final class PrefixCacheEstimate {

  /**
   * Maximum number of tracked prefixes; at 40 bytes each they take a tenth of a megabyte per
   * engine.
   */
  private static final int MAX_PREFIXES = 2048;

  /**
   * Share of the engine's memory after which a prefix counts as evicted. The rest holds running
   * requests and is a margin for unreported prompts of other entries.
   */
  private static final double CACHED_SHARE = 0.6;

  private final Map<Long, Double> usedAt = new LinkedHashMap<>(64, 0.75f, true);
  private double tokensRead;

  /**
   * Returns how many tokens of a prompt the engine has cached and needn't read again.
   *
   * @param prefixes prefixes of the prompt
   * @param memoryTokens tokens that fit into the engine's memory; 0 if unknown
   */
  public int cachedTokens(PromptPrefixes prefixes, long memoryTokens) {
    for (int index = prefixes.size() - 1; index >= 0; index--) {
      Double lastUse = usedAt.get(prefixes.key(index));
      boolean cached =
          lastUse != null
              && (memoryTokens <= 0 || tokensRead - lastUse < CACHED_SHARE * memoryTokens);
      if (cached) {
        return prefixes.tokens(index);
      }
    }
    return 0;
  }

  /**
   * Records that a prompt is sent to the engine.
   *
   * @param prefixes prefixes of the prompt
   * @param newTokens tokens that the engine prefills for the prompt and for other work meanwhile
   */
  public void recordSent(PromptPrefixes prefixes, double newTokens) {
    tokensRead += newTokens;
    for (int index = 0; index < prefixes.size(); index++) {
      recordUse(prefixes.key(index));
    }
  }

  /** Records that the engine has read or used a prefix for another entry. */
  public void recordUse(long key) {
    usedAt.put(key, tokensRead);
    if (usedAt.size() > MAX_PREFIXES) {
      usedAt.remove(usedAt.keySet().iterator().next());
    }
  }
}
