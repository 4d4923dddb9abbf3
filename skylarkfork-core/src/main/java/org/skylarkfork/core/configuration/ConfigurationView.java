package org.skylarkfork.core.configuration;

import java.time.Instant;
import java.util.Optional;

/** Read access to the configuration applied on this daemon. */
public interface ConfigurationView {

  /** Returns the newest configuration applied on this daemon; its revision never decreases. */
  Configuration current();

  /** Returns whether this daemon holds a valid configuration lease and may accept new work. */
  boolean mayServe(Instant now);

  /** Returns the team that owns a key, in constant time; empty if no team owns it. */
  Optional<Team> teamByKeyHash(String sha256);
}
