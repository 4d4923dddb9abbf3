package org.skylarkfork.core.relay;

import java.util.List;

/**
 * The relay's configuration as set by operators.
 *
 * @param version version number set by operators; a higher version replaces a lower one
 * @param routes the routes by host and path
 * @param services the services that routes refer to
 * @param teams the teams that may send requests with a key; empty if no request needs a key
 * @param limits limits on requests of callers
 */
public record RelayConfiguration(
    long version,
    List<RelayRoute> routes,
    List<RelayService> services,
    List<RelayTeam> teams,
    RelayLimits limits) {

  /** The configuration before the first one is accepted. */
  public static final RelayConfiguration NONE =
      new RelayConfiguration(0, List.of(), List.of(), List.of(), RelayLimits.DEFAULT);

  /** Copies the lists. */
  public RelayConfiguration {
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    teams = List.copyOf(teams);
  }
}
