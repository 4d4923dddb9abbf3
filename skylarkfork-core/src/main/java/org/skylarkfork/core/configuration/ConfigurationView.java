package org.skylarkfork.core.configuration;

import java.time.Instant;
import java.util.Optional;

/** The configuration in force on this daemon. */
public interface ConfigurationView {

  /** Returns the newest configuration applied here; its revision never decreases. */
  Configuration current();

  /** Returns whether this daemon holds a valid configuration lease and may take new work. */
  boolean mayServe(Instant now);

  /** Returns the team that owns a key, in constant time. */
  Optional<Team> teamByKeyHash(String sha256);
}
