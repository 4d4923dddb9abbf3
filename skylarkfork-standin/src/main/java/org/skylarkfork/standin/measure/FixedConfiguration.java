package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.RollOut;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.configuration.VersionPolicy;

/**
 * A configuration that doesn't change while something is measured.
 *
 * @param current the configuration
 */
public record FixedConfiguration(Configuration current) implements ConfigurationView {

  /** Makes a configuration of models and roll-outs with the default policy. */
  public static FixedConfiguration of(List<Model> models, List<RollOut> rollOuts) {
    return new FixedConfiguration(
        new Configuration(
            1,
            List.of(),
            models,
            List.of(),
            List.of(),
            rollOuts,
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            VersionPolicy.DEFAULT,
            List.of()));
  }

  @Override
  public boolean mayServe(Instant now) {
    return true;
  }

  @Override
  public Optional<Team> teamByKeyHash(String sha256) {
    return Optional.empty();
  }
}
