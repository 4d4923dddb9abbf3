package org.skylarkfork.core.placement;

import java.util.List;
import org.skylarkfork.core.routing.StableHash;

/**
 * The beginnings of a prompt that an engine may keep.
 *
 * <p>A part is of use only behind all parts before it, and only to the model that read it. So each
 * beginning has one key, made of the model and the parts; all entries make the same.
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
   * Makes the chain of a prompt.
   *
   * @param model model that reads it
   * @param parts its parts in order, the request's own one last; may be empty
   * @param promptTokens tokens of the whole prompt, if the parts don't make it up
   */
  public static PromptPrefixes of(String model, List<PromptPart> parts, int promptTokens) {
    long[] keys = new long[parts.size()];
    int[] tokens = new int[parts.size()];
    String before = model;
    int sum = 0;
    for (int place = 0; place < keys.length; place++) {
      keys[place] = StableHash.of(before, parts.get(place).id());
      before = Long.toHexString(keys[place]);
      sum += parts.get(place).tokens();
      tokens[place] = sum;
    }
    return new PromptPrefixes(keys, tokens, Math.max(sum, promptTokens));
  }

  /**
   * Makes a chain anew from its keys.
   *
   * @param keys keys of the beginnings in order
   * @param tokens tokens of each
   * @param totalTokens tokens of the whole prompt
   */
  public static PromptPrefixes ofKeys(long[] keys, int[] tokens, int total) {
    if (keys.length != tokens.length) {
      throw new IllegalArgumentException(keys.length + " keys with " + tokens.length + " lengths");
    }
    return new PromptPrefixes(keys.clone(), tokens.clone(), total);
  }

  /** Returns how many beginnings there are, the whole prompt among them. */
  public int size() {
    return keys.length;
  }

  /** Returns the key of the beginning that ends with a part. */
  public long key(int place) {
    return keys[place];
  }

  /** Returns the tokens of the beginning that ends with a part. */
  public int tokens(int place) {
    return tokens[place];
  }

  /** Returns the tokens of the whole prompt. */
  public int totalTokens() {
    return totalTokens;
  }

  /** Returns how many beginnings are shared with other requests: all but the whole prompt. */
  public int sharedSize() {
    return Math.max(0, keys.length - 1);
  }

  /** Returns the tokens that are shared with other requests. */
  public int sharedTokens() {
    return sharedSize() == 0 ? 0 : tokens[sharedSize() - 1];
  }
}
