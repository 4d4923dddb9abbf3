package org.skylarkfork.core.placement;

/**
 * Estimates how long the engines of a service take until the first byte of an answer.
 *
 * <p>For each model the time is a fixed part plus a time per prompt token that the engine has to
 * read. Both come from a least-squares line through the newest answers. Models differ tenfold, and
 * so do deployments.
 */
public final class PrefillTimes {

  /**
   * Factor by which each newer answer reduces the weight of an older one; the newest 50 count most.
   */
  private static final double DECAY = 0.98;

  /**
   * Fixed part that is assumed before the first answer, in milliseconds; any answers outweigh it.
   */
  private static final double INITIAL_FIXED_MILLIS = 100;

  /**
   * Time per token that is assumed before the first answer, in milliseconds; half of it works as
   * well.
   */
  private static final double INITIAL_MILLIS_PER_TOKEN = 0.02;

  private static final double INITIAL_TOKENS = 5000;

  /** Limit of a measured time, as a multiple of the expected time; longer times are cut to it. */
  private static final double MAX_RATIO = 4;

  /** Minimum time per token in milliseconds, so that no prefill counts as free. */
  private static final double MIN_MILLIS_PER_TOKEN = 0.0005;

  private final RecentEstimates<Line> byModel = new RecentEstimates<>(Line::new);

  /**
   * Returns the engine time that a prefill takes, in milliseconds; the engine runs no other prefill
   * during it.
   */
  public double prefillMillis(String model, double tokens) {
    return line(model).millisPerToken * tokens;
  }

  /**
   * Returns the time until the first byte of an answer to a request that doesn't wait, in
   * milliseconds.
   */
  public double firstByteMillis(String model, double tokens) {
    Line line = line(model);
    return line.fixedMillis + line.millisPerToken * tokens;
  }

  /**
   * Records an answer to a request that did not wait.
   *
   * @param model model that answered
   * @param tokens tokens that the engine read for the answer
   * @param millis time until the first byte, in milliseconds
   */
  public void recordAnswer(String model, double tokens, double millis) {
    double maxMillis = MAX_RATIO * firstByteMillis(model, tokens);
    line(model).add(tokens, Math.min(millis, maxMillis));
  }

  private Line line(String model) {
    return byModel.getOrCreate(model);
  }

  private static final class Line {
    private double weight;
    private double tokens;
    private double millis;
    private double tokensSquared;
    private double product;
    private double fixedMillis;
    private double millisPerToken;

    private Line() {
      add(0, INITIAL_FIXED_MILLIS);
      add(INITIAL_TOKENS, INITIAL_FIXED_MILLIS + INITIAL_MILLIS_PER_TOKEN * INITIAL_TOKENS);
    }

    private void add(double newTokens, double newMillis) {
      weight = DECAY * weight + 1;
      tokens = DECAY * tokens + newTokens;
      millis = DECAY * millis + newMillis;
      tokensSquared = DECAY * tokensSquared + newTokens * newTokens;
      product = DECAY * product + newTokens * newMillis;
      double spread = weight * tokensSquared - tokens * tokens;
      double slope = spread <= 0 ? 0 : (weight * product - tokens * millis) / spread;
      millisPerToken = Math.max(MIN_MILLIS_PER_TOKEN, slope);
      fixedMillis = Math.max(0, (millis - millisPerToken * tokens) / weight);
    }
  }
}
