package org.skylarkfork.standin.measure.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.Price;
import org.skylarkfork.standin.measure.ModelTruth;

/** How good each version's answers really are, and when one of them turns bad. */
final class Truth {

  /** The version that turns bad. */
  static final ModelVersion BAD = Deployment.SMALL_NEW;

  private static final double GOOD_SMALL = 0.6;
  private static final double GOOD_LARGE = 1.05;
  private static final double BAD_SMALL = 0.15;
  private static final double DECAY_SECONDS = 60;

  private final long seed;
  private final Set<FaultKind> faults;
  private final Map<String, Double> scores = new HashMap<>();

  Truth(long seed, Set<FaultKind> faults) {
    this.seed = seed;
    this.faults = faults;
  }

  /** Returns the rating that an answer deserves; the same request draws the same chance. */
  double score(Ask ask, ModelVersion version, double second) {
    String answer = ask.request().requestId() + version;
    UniformRandomProvider random =
        RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + answer.hashCode());
    double score = truth(version, second).rating(ask.difficulty(), random);
    scores.put(answer, score);
    return score;
  }

  /** Returns the last score of a request's answers by a version, or 0 if there was none. */
  double known(String requestId, ModelVersion version) {
    return scores.getOrDefault(requestId + version, 0.0);
  }

  /** Returns whether a version is bad at a second of the run. */
  boolean isBad(ModelVersion version, double second) {
    return version.equals(BAD)
        && second >= Deployment.FAULT_BEGIN
        && faults.stream().anyMatch(FaultKind::isBadVersion);
  }

  private ModelTruth truth(ModelVersion version, double second) {
    double ability = version.model().equals("large") ? GOOD_LARGE : GOOD_SMALL;
    if (isBad(version, second)) {
      double decay =
          faults.contains(FaultKind.BAD_SUDDEN)
              ? 1
              : Math.min(1, (second - Deployment.FAULT_BEGIN) / DECAY_SECONDS);
      ability = GOOD_SMALL - decay * (GOOD_SMALL - BAD_SMALL);
    }
    return new ModelTruth(version.model(), new Price(0, 0), ability, 0, 0);
  }
}
