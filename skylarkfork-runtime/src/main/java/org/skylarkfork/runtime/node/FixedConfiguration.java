package org.skylarkfork.runtime.node;

import java.time.Instant;
import java.util.Optional;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Team;

/** A configuration that never changes. */
record FixedConfiguration(Configuration current) implements ConfigurationView {

  @Override
  public boolean mayServe(Instant now) {
    return true;
  }

  @Override
  public Optional<Team> teamByKeyHash(String sha256) {
    return current.teams().stream()
        .filter(team -> team.keys().stream().anyMatch(key -> key.sha256().equals(sha256)))
        .findFirst();
  }
}
