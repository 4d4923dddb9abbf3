package org.skylarkfork.standin.engine;

import org.skylarkfork.standin.settings.ZeroIfAbsent;

/**
 * How much an engine holds.
 *
 * @param capacity the requests in a batch; 8 if absent
 * @param queue the requests that may wait; 32 if absent
 * @param cacheBlocks the blocks of 16 tokens in the prefix cache; 1024 if absent
 * @param minTokens the fewest tokens of an answer; 8 if absent
 * @param maxTokens the most tokens of an answer; 64 if absent
 * @param tokensPerChunk the tokens in each chunk of a stream; 1 if absent
 */
public record EngineLimits(
    @ZeroIfAbsent int capacity,
    @ZeroIfAbsent int queue,
    @ZeroIfAbsent int cacheBlocks,
    @ZeroIfAbsent int minTokens,
    @ZeroIfAbsent int maxTokens,
    @ZeroIfAbsent int tokensPerChunk) {

  /** Limits that suit tests and examples. */
  public static final EngineLimits DEFAULT = new EngineLimits(0, 0, 0, 0, 0, 0);

  private static final int DEFAULT_CAPACITY = 8;
  private static final int DEFAULT_QUEUE = 32;
  private static final int DEFAULT_CACHE_BLOCKS = 1024;
  private static final int DEFAULT_MIN_TOKENS = 8;
  private static final int DEFAULT_MAX_TOKENS = 64;

  /** Puts defaults in place of absent values. */
  public EngineLimits {
    capacity = orElse(capacity, DEFAULT_CAPACITY);
    queue = orElse(queue, DEFAULT_QUEUE);
    cacheBlocks = orElse(cacheBlocks, DEFAULT_CACHE_BLOCKS);
    minTokens = orElse(minTokens, DEFAULT_MIN_TOKENS);
    maxTokens = orElse(maxTokens, DEFAULT_MAX_TOKENS);
    tokensPerChunk = orElse(tokensPerChunk, 1);
  }

  private static int orElse(int value, int otherwise) {
    return value <= 0 ? otherwise : value;
  }
}
