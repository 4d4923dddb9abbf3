package org.skylarkfork.core.quality;

import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.ModelVersion;

/**
 * Estimates a version's chance from decayed ratings and the operators' prior.
 *
 * <p>Each key is drawn to the version's other sizes, those to the operators' prior. A missing
 * rating counts as nothing, since ratings are asked for by hash and not by the answer.
 */
final class QualityEstimator {

  private static final double UNKNOWN_PRIOR = 0.5;

  private final DecayedCounts counts;
  private final ConfigurationView configuration;
  private final double priorStrength;

  QualityEstimator(DecayedCounts counts, ConfigurationView configuration, double priorStrength) {
    this.counts = counts;
    this.configuration = configuration;
    this.priorStrength = priorStrength;
  }

  VersionQuality.Estimate estimate(EvidenceKey key, double target) {
    double unescalatedMean = meanOverSizes(key.version(), false, target, prior(key.version()));
    double priorMean =
        key.escalated()
            ? meanOverSizes(key.version(), true, target, unescalatedMean)
            : unescalatedMean;
    double[] keyCounts = counts.of(key);
    double ratings = DecayedCounts.ratings(keyCounts);
    double reaching = DecayedCounts.ratingsReaching(keyCounts, target);
    double weight = ratings + priorStrength;
    double mean = (reaching + priorStrength * priorMean) / weight;
    return new VersionQuality.Estimate(mean, Math.sqrt(mean * (1 - mean) / (weight + 1)), ratings);
  }

  /** Returns the mean time to a whole answer in milliseconds, or 0 if none was seen. */
  double meanMillis(ModelVersion version, SizeClass size) {
    return meanPerTimedAnswer(version, size, Counters.MILLIS);
  }

  /** Returns the mean number of generated tokens, or 0 if none was seen. */
  double meanTokens(ModelVersion version, SizeClass size) {
    return meanPerTimedAnswer(version, size, Counters.TOKENS);
  }

  private double meanOverSizes(
      ModelVersion version, boolean escalated, double target, double prior) {
    double ratings = 0;
    double reaching = 0;
    for (SizeClass size : SizeClass.values()) {
      double[] keyCounts = counts.of(new EvidenceKey(version, size, escalated));
      ratings += DecayedCounts.ratings(keyCounts);
      reaching += DecayedCounts.ratingsReaching(keyCounts, target);
    }
    return (reaching + priorStrength * prior) / (ratings + priorStrength);
  }

  private double meanPerTimedAnswer(ModelVersion version, SizeClass size, int index) {
    double sum = 0;
    double timed = 0;
    for (boolean escalated : new boolean[] {false, true}) {
      double[] keyCounts = counts.of(new EvidenceKey(version, size, escalated));
      sum += keyCounts[index];
      timed += keyCounts[Counters.TIMED];
    }
    return timed > 0 ? sum / timed : 0;
  }

  private double prior(ModelVersion version) {
    return configuration
        .current()
        .model(version.model())
        .flatMap(model -> model.version(version.version()))
        .map(Model.Version::priorQuality)
        .orElse(UNKNOWN_PRIOR);
  }
}
