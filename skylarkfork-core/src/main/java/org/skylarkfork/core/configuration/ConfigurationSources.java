package org.skylarkfork.core.configuration;

import java.util.List;

/** Says from which daemons this daemon may take the configuration and its lease. */
public interface ConfigurationSources {

  /** Returns names of daemons, the preferred one first; never this daemon itself. */
  List<String> candidates();
}
