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
  private final PrefixCacheEstimate kept = new PrefixCacheEstimate();

  private PromptPrefixes chain(String model, String own) {
    return PromptPrefixes.of(model, List.of(common, subject, new PromptPart(own, 200)), 1700);
  }

  @Test
  public void sharedBeginningIsNotReadAgainByTheSameModel() {
    kept.recordSent(chain("small", "first"), 1700);
    assertEquals(kept.cachedTokens(chain("small", "second"), MEMORY), 1500);
    assertEquals(kept.cachedTokens(chain("small", "first"), MEMORY), 1700);
    assertEquals(kept.cachedTokens(chain("large", "second"), MEMORY), 0);
  }

  /** The same part behind another beginning is of no use to an engine. */
  @Test
  public void partIsKeptOnlyBehindItsBeginning() {
    kept.recordSent(chain("small", "first"), 1700);
    PromptPrefixes other =
        PromptPrefixes.of("small", List.of(subject, common, new PromptPart("own", 200)), 1700);
    assertEquals(kept.cachedTokens(other, MEMORY), 0);
    assertNotEquals(other.key(1), chain("small", "first").key(1));
  }

  /**
   * A caller would wait for a second of reading that nobody expected: the engine has dropped the
   * beginning, since others' prompts have filled its memory meanwhile.
   */
  @Test
  public void beginningCountsAsDroppedOnceTheMemoryIsFull() {
    kept.recordSent(chain("small", "first"), 1700);
    PromptPrefixes other = PromptPrefixes.of("small", List.of(new PromptPart("long", 5000)), 5000);
    kept.recordSent(other, 5000);
    assertEquals(kept.cachedTokens(chain("small", "second"), MEMORY), 1500);
    kept.recordSent(PromptPrefixes.of("small", List.of(new PromptPart("more", 2000)), 2000), 2000);
    assertEquals(kept.cachedTokens(chain("small", "second"), MEMORY), 0);
    assertEquals(kept.cachedTokens(chain("small", "second"), 0), 1500, "a memory of unknown size");
  }

  @Test
  public void whatOtherEntriesSentIsKeptToo() {
    kept.recordUse(chain("small", "first").key(1));
    assertEquals(kept.cachedTokens(chain("small", "second"), MEMORY), 1500);
  }

  @Test
  public void promptWithoutPartsHasItsTokens() {
    PromptPrefixes chain = PromptPrefixes.of("small", List.of(), 300);
    assertEquals(chain.totalTokens(), 300);
    assertEquals(chain.sharedTokens(), 0);
    assertEquals(kept.cachedTokens(chain, MEMORY), 0);
  }
}
