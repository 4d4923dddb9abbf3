package org.skylarkfork.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What one engine is believed to keep of the prompts that it has read.
 *
 * <p>Engines don't tell; they drop what was not used for longest once their memory is full. So a
 * beginning counts as kept until about as many tokens as fit into the memory were read after it.
 */
public final class PrefixCacheEstimate {

  /** Beginnings that are remembered; with 40 bytes each a tenth of a megabyte for each engine. */
  private static final int MOST = 2048;

  /**
   * Share of the memory after which a beginning counts as dropped. The rest holds requests under
   * way, and is the margin for what other entries have read there without telling.
   */
  private static final double SAFE_SHARE = 0.6;

  private final Map<Long, Double> usedAt = new LinkedHashMap<>(64, 0.75f, true);
  private double tokensRead;

  /**
   * Returns the tokens of a prompt that need not be read again.
   *
   * @param chain the prompt
   * @param memoryTokens tokens that fit into the engine's memory; 0 if unknown
   */
  public int cachedTokens(PromptPrefixes chain, long memoryTokens) {
    for (int place = chain.size() - 1; place >= 0; place--) {
      Double used = usedAt.get(chain.key(place));
      boolean fresh =
          used != null && (memoryTokens <= 0 || tokensRead - used < SAFE_SHARE * memoryTokens);
      if (fresh) {
        return chain.tokens(place);
      }
    }
    return 0;
  }

  /**
   * Takes note that a prompt is sent to the engine.
   *
   * @param chain the prompt
   * @param newTokens tokens that the engine reads for it and for what else is read meanwhile
   */
  public void recordSent(PromptPrefixes chain, double newTokens) {
    tokensRead += newTokens;
    for (int place = 0; place < chain.size(); place++) {
      recordUse(chain.key(place));
    }
  }

  /** Takes note that a beginning was read or used there for another entry. */
  public void recordUse(long key) {
    usedAt.put(key, tokensRead);
    if (usedAt.size() > MOST) {
      usedAt.remove(usedAt.keySet().iterator().next());
    }
  }
}
