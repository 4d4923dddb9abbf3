package org.skylarkfork.core.quality;

import java.time.Instant;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.ModelVersion;

/** Knows only what operators expect of each version and learns nothing. */
public final class PriorVersionQuality implements VersionQuality {

  private static final Estimate UNKNOWN = new Estimate(0, 0, 0);

  private final ConfigurationView configuration;

  /**
   * Makes a book.
   *
   * @param configuration where the priors come from
   */
  public PriorVersionQuality(ConfigurationView configuration) {
    this.configuration = configuration;
  }

  @Override
  public Estimate estimate(ModelVersion version, String team, int promptTokens, double target) {
    return configuration
        .current()
        .model(version.model())
        .flatMap(model -> model.version(version.version()))
        .map(Model.Version::priorQuality)
        .map(prior -> new Estimate(prior, 0, 0))
        .orElse(UNKNOWN);
  }

  @Override
  public boolean isSuspect(ModelVersion version) {
    return false;
  }

  @Override
  public void record(AttemptOutcome outcome, Instant now) {
    // Nothing is learnt.
  }
}
