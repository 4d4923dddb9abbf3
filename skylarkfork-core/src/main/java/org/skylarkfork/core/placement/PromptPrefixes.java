package org.skylarkfork.core.placement;

import java.util.List;
import org.skylarkfork.core.routing.StableHash;

/**
 * The prefixes of a prompt that an engine may have cached.
 *
 * <p>A cached part is usable only behind the same preceding parts and only by the model that read
 * it. Each prefix therefore has one key, which is a hash of the model and of all parts up to the
 * end of the prefix; all entries compute the same key.
 */
public final class PromptPrefixes {

  private final long[] keys;
  private final int[] tokens;
  private final int totalTokens;

  private PromptPrefixes(long[] keys, int[] tokens, int total) {
    this.keys = keys;
    this.tokens = tokens;
    this.totalTokens = total;
  }

  /**
   * Creates the prefixes of a prompt.
   *
   * @param model model that reads the prompt
   * @param parts parts of the prompt in order, the request's own part last; may be empty
   * @param promptTokens tokens of the whole prompt; counts if the parts add up to fewer
   */
  public static PromptPrefixes of(String model, List<PromptPart> parts, int promptTokens) {
    long[] keys = new long[parts.size()];
    int[] tokens = new int[parts.size()];
    String preceding = model;
    int sum = 0;
    for (int index = 0; index < keys.length; index++) {
      keys[index] = StableHash.of(preceding, parts.get(index).id());
      preceding = Long.toHexString(keys[index]);
      sum += parts.get(index).tokens();
      tokens[index] = sum;
    }
    return new PromptPrefixes(keys, tokens, Math.max(sum, promptTokens));
  }

  /**
   * Creates prefixes from their keys.
   *
   * @param keys keys of the prefixes in order
   * @param tokens length of each prefix in tokens
   * @param total tokens of the whole prompt
   * @throws IllegalArgumentException if the arrays differ in length
   */
  public static PromptPrefixes ofKeys(long[] keys, int[] tokens, int total) {
    if (keys.length != tokens.length) {
      throw new IllegalArgumentException(keys.length + " keys with " + tokens.length + " lengths");
    }
    return new PromptPrefixes(keys.clone(), tokens.clone(), total);
  }

  /** Returns the number of prefixes, the whole prompt included. */
  public int size() {
    return keys.length;
  }

  /** Returns the key of the prefix that ends with the part at an index. */
  public long key(int index) {
    return keys[index];
  }

  /** Returns the tokens of the prefix that ends with the part at an index. */
  public int tokens(int index) {
    return tokens[index];
  }

  /** Returns the tokens of the whole prompt. */
  public int totalTokens() {
    return totalTokens;
  }

  /** Returns the number of prefixes that other requests may share: all but the whole prompt. */
  public int sharedSize() {
    return Math.max(0, keys.length - 1);
  }

  /** Returns the tokens of the longest prefix that other requests may share; 0 if there is none. */
  public int sharedTokens() {
    return sharedSize() == 0 ? 0 : tokens[sharedSize() - 1];
  }
}
