package org.skylarkfork.core.relay;

import java.util.List;

/**
 * All that operators decide about the relay.
 *
 * @param version the operators' number; a higher one replaces a lower one
 * @param routes where requests go
 * @param services the services that routes name
 * @param teams who may send keyed requests; empty if no request needs a key
 * @param limits bounds on what callers send
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
