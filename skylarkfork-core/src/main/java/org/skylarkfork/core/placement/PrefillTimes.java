package org.skylarkfork.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * How long the engines of a service take until the first byte, learned from answers.
 *
 * <p>For each model the time is a fixed part and one for each token to be read: the straight line
 * through the newest answers with the least squares. Models differ tenfold, deployments too.
 */
public final class PrefillTimes {

  /** Share that an answer loses with each newer one; the newest 50 count most. */
  private static final double KEPT_WEIGHT = 0.98;

  /** Guess before the first answer, which any answers outweigh: milliseconds without reading. */
  private static final double FIRST_FIXED = 100;

  /** Guess before the first answer: milliseconds for each token; halves of it do as well. */
  private static final double FIRST_PER_TOKEN = 0.02;

  private static final double GUESSED_TOKENS = 5000;

  /** An answer that took more than this many times what was expected counts as that much. */
  private static final double LARGEST_SURPRISE = 4;

  /** Least time for a token, so that work never counts as nothing. */
  private static final double LEAST_PER_TOKEN = 0.0005;

  private final Map<String, Line> byModel = new HashMap<>();

  /** Returns the milliseconds of an engine that reading takes, in which nothing else is read. */
  public double prefillMillis(String model, double tokens) {
    return line(model).perToken * tokens;
  }

  /** Returns the milliseconds until the first byte of an answer that needn't wait. */
  public double firstByteMillis(String model, double tokens) {
    Line line = line(model);
    return line.fixed + line.perToken * tokens;
  }

  /**
   * Takes note of an answer that did not have to wait.
   *
   * @param model model that gave it
   * @param tokens tokens that were read for it
   * @param millis time until its first byte
   */
  public void recordAnswer(String model, double tokens, double millis) {
    double largest = LARGEST_SURPRISE * firstByteMillis(model, tokens);
    line(model).add(tokens, Math.min(millis, largest));
  }

  private Line line(String model) {
    return byModel.computeIfAbsent(model, missing -> new Line());
  }

  private static final class Line {
    private double weight;
    private double tokens;
    private double millis;
    private double tokensSquared;
    private double product;
    private double fixed;
    private double perToken;

    private Line() {
      add(0, FIRST_FIXED);
      add(GUESSED_TOKENS, FIRST_FIXED + FIRST_PER_TOKEN * GUESSED_TOKENS);
    }

    private void add(double newTokens, double newMillis) {
      weight = KEPT_WEIGHT * weight + 1;
      tokens = KEPT_WEIGHT * tokens + newTokens;
      millis = KEPT_WEIGHT * millis + newMillis;
      tokensSquared = KEPT_WEIGHT * tokensSquared + newTokens * newTokens;
      product = KEPT_WEIGHT * product + newTokens * newMillis;
      double spread = weight * tokensSquared - tokens * tokens;
      double slope = spread <= 0 ? 0 : (weight * product - tokens * millis) / spread;
      perToken = Math.max(LEAST_PER_TOKEN, slope);
      fixed = Math.max(0, (millis - perToken * tokens) / weight);
    }
  }
}
