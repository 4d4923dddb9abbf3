package org.skylarkfork.standin.engine;

import java.time.Duration;
import org.skylarkfork.standin.settings.ZeroIfAbsent;

/**
 * How fast an engine works.
 *
 * @param tokensPerSecond the tokens of one stream per second when it runs alone; 1000 if absent
 * @param slowdownPerRequest the growth of a decoding step with each further stream in the batch, as
 *     a share; 0 if absent
 * @param prefillTokensPerSecond the uncached prompt tokens read per second; 100000 if absent
 * @param loadTime the time to load a version when no weight store is set; 10 ms if absent
 */
public record EngineSpeed(
    @ZeroIfAbsent double tokensPerSecond,
    @ZeroIfAbsent double slowdownPerRequest,
    @ZeroIfAbsent double prefillTokensPerSecond,
    Duration loadTime) {

  private static final double DEFAULT_TOKENS_PER_SECOND = 1_000;
  private static final double DEFAULT_PREFILL = 100_000;
  private static final Duration DEFAULT_LOAD_TIME = Duration.ofMillis(10);
  private static final double NANOS = 1e9;

  /** A speed that suits tests and examples. */
  public static final EngineSpeed DEFAULT =
      new EngineSpeed(DEFAULT_TOKENS_PER_SECOND, 0, DEFAULT_PREFILL, DEFAULT_LOAD_TIME);

  /** Puts defaults in place of absent values. */
  public EngineSpeed {
    tokensPerSecond = tokensPerSecond == 0 ? DEFAULT_TOKENS_PER_SECOND : tokensPerSecond;
    prefillTokensPerSecond = prefillTokensPerSecond == 0 ? DEFAULT_PREFILL : prefillTokensPerSecond;
    loadTime = loadTime == null ? DEFAULT_LOAD_TIME : loadTime;
  }

  /**
   * Gives the duration of a decoding step.
   *
   * @param batch the number of streams in the batch, at least 1
   * @param tokens the tokens that each stream gains
   * @param prefill the uncached prompt tokens read in the same step
   * @return the duration
   */
  Duration step(int batch, int tokens, long prefill) {
    double decoding = tokens / tokensPerSecond * (1 + slowdownPerRequest * (batch - 1));
    double reading = prefill / prefillTokensPerSecond;
    return Duration.ofNanos((long) ((decoding + reading) * NANOS));
  }
}
