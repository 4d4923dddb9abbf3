package org.skylarkfork.standin.measure;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.Price;

/**
 * How good, dear and fast a model really is; what the planners have to find out.
 *
 * @param name name of the model, whose one version is {@code 1}
 * @param price what its tokens cost
 * @param ability difficulty, 0 to 1, at which every second answer is good
 * @param prior chance of a good answer that operators expect
 * @param millisPerToken time for one generated token in milliseconds
 */
public record ModelTruth(
    String name, Price price, double ability, double prior, double millisPerToken) {

  /** Least rating of a good answer. */
  public static final double GOOD_RATING = 0.9;

  private static final double STEEPNESS = 12;
  private static final double WORST_RATING = 0.1;

  /** Returns the model's one version. */
  public ModelVersion version() {
    return new ModelVersion(name, "1");
  }

  /** Returns the model as operators would configure it. */
  public Model configured() {
    return new Model(name, List.of(new Model.Version("1", price, prior)), "1");
  }

  /** Returns the chance of a good answer to a request of a difficulty from 0 to 1. */
  public double chance(double difficulty) {
    return 1 / (1 + Math.exp(-STEEPNESS * (ability - difficulty)));
  }

  /** Draws the rating of an answer. */
  public double rating(double difficulty, UniformRandomProvider random) {
    boolean good = random.nextDouble() < chance(difficulty);
    double part = random.nextDouble();
    return good
        ? GOOD_RATING + part * (1 - GOOD_RATING)
        : WORST_RATING + part * (GOOD_RATING - WORST_RATING - 0.05);
  }
}
