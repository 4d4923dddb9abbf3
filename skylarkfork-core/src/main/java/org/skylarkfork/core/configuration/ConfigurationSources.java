package org.skylarkfork.core.configuration;

import java.util.List;

/** Selects the daemons from which this daemon may receive the configuration and its lease. */
public interface ConfigurationSources {

  /**
   * Returns the names of the daemons, the preferred one first; never contains this daemon itself.
   */
  List<String> candidates();
}
