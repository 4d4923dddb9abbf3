package org.skylarkfork.core.quality;

import java.time.Instant;
import org.skylarkfork.core.configuration.ModelVersion;

/** What is known of how good each version's answers are, over all entries. */
public interface VersionQuality {

  /**
   * Returns the chance that an answer of the version reaches a target, with its uncertainty.
   *
   * @param version the version
   * @param team name of the team that asks
   * @param promptTokens length of the prompt
   * @param target wanted rating, 0 to 1
   */
  Estimate estimate(ModelVersion version, String team, int promptTokens, double target);

  /**
   * Returns the chance that an answer reaches a target after an earlier step of the plan fell
   * short; such requests are harder than others.
   *
   * @param version the version
   * @param team name of the team that asks
   * @param promptTokens length of the prompt
   * @param target wanted rating, 0 to 1
   */
  default Estimate estimateEscalated(
      ModelVersion version, String team, int promptTokens, double target) {
    return estimate(version, team, promptTokens, target);
  }

  /**
   * Returns the mean time to a whole answer in milliseconds, or 0 if it is not known.
   *
   * @param version the version
   * @param promptTokens length of the prompt
   */
  default double expectedMillis(ModelVersion version, int promptTokens) {
    return 0;
  }

  /**
   * Returns the mean number of generated tokens, or 0 if it is not known.
   *
   * @param version the version
   * @param promptTokens length of the prompt
   */
  default double expectedTokens(ModelVersion version, int promptTokens) {
    return 0;
  }

  /**
   * Returns the share of a version's answers that should be rated.
   *
   * @param version the version
   * @param configuredShare share that operators set, 0 to 1
   * @return the usual share, or more while it is not clear whether the version is good
   */
  default double ratingShare(ModelVersion version, double configuredShare) {
    return configuredShare;
  }

  /** Returns whether the evidence shows the version to be bad, so that it gets no new sessions. */
  boolean isSuspect(ModelVersion version);

  /**
   * Takes note of an attempt that ended.
   *
   * @param outcome what came of it
   * @param now the present time
   */
  void record(AttemptOutcome outcome, Instant now);

  /**
   * A chance and how sure it is.
   *
   * @param mean expected chance, 0 to 1
   * @param standardDeviation of that chance
   * @param samples ratings that it rests on, decayed by age
   */
  record Estimate(double mean, double standardDeviation, double samples) {}
}
