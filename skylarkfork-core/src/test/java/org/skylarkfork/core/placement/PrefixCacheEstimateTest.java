package org.skylarkfork.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link PrefixCacheEstimate} and {@link PromptPrefixes}. */
public final class PrefixCacheEstimateTest {

  private static final long MEMORY = 10_000;

  private final PromptPart common = new PromptPart("common", 500);
  private final PromptPart subject = new PromptPart("subject", 1000);
  private final PrefixCacheEstimate cache = new PrefixCacheEstimate();

  private PromptPrefixes prefixes(String model, String own) {
    return PromptPrefixes.of(model, List.of(common, subject, new PromptPart(own, 200)), 1700);
  }

  @Test
  public void sharedPrefixIsCachedForTheSameModelOnly() {
    cache.recordSent(prefixes("small", "first"), 1700);
    assertEquals(cache.cachedTokens(prefixes("small", "second"), MEMORY), 1500);
    assertEquals(cache.cachedTokens(prefixes("small", "first"), MEMORY), 1700);
    assertEquals(cache.cachedTokens(prefixes("large", "second"), MEMORY), 0);
  }

  /** A cached part is of no use to an engine behind other preceding parts. */
  @Test
  public void partIsCachedOnlyBehindTheSamePrefix() {
    cache.recordSent(prefixes("small", "first"), 1700);
    PromptPrefixes other =
        PromptPrefixes.of("small", List.of(subject, common, new PromptPart("own", 200)), 1700);
    assertEquals(cache.cachedTokens(other, MEMORY), 0);
    assertNotEquals(other.key(1), prefixes("small", "first").key(1));
  }

  /**
   * Guards against counting evicted prefixes as cached: other prompts have filled the engine's
   * memory, and the caller would wait for an unexpected second of prefill.
   */
  @Test
  public void prefixCountsAsEvictedOnceTheMemoryIsFull() {
    cache.recordSent(prefixes("small", "first"), 1700);
    PromptPrefixes other = PromptPrefixes.of("small", List.of(new PromptPart("long", 5000)), 5000);
    cache.recordSent(other, 5000);
    assertEquals(cache.cachedTokens(prefixes("small", "second"), MEMORY), 1500);
    cache.recordSent(PromptPrefixes.of("small", List.of(new PromptPart("more", 2000)), 2000), 2000);
    assertEquals(cache.cachedTokens(prefixes("small", "second"), MEMORY), 0);
    assertEquals(
        cache.cachedTokens(prefixes("small", "second"), 0), 1500, "a memory of unknown size");
  }

  @Test
  public void prefixesOfOtherEntriesAreCached() {
    cache.recordUse(prefixes("small", "first").key(1));
    assertEquals(cache.cachedTokens(prefixes("small", "second"), MEMORY), 1500);
  }

  @Test
  public void promptWithoutPartsHasNoCachedTokens() {
    PromptPrefixes prefixes = PromptPrefixes.of("small", List.of(), 300);
    assertEquals(prefixes.totalTokens(), 300);
    assertEquals(prefixes.sharedTokens(), 0);
    assertEquals(cache.cachedTokens(prefixes, MEMORY), 0);
  }
}
