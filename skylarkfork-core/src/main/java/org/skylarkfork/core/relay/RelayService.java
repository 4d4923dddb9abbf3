package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;

/**
 * A service whose upstreams register by heartbeats.
 *
 * @param name name of the service
 * @param healthPath path of its health check
 * @param maxConnections maximum number of connections of all entries together to one upstream
 * @param engine capabilities of its engines, or null for a service without engines
 * @param cold cold-start rate limit of its upstreams; null means {@link ColdStart#NONE}
 */
public record RelayService(
    String name,
    String healthPath,
    int maxConnections,
    @Nullable EngineProfile engine,
    ColdStart cold) {

  /** Replaces a missing cold-start limit by the default. */
  public RelayService {
    cold = ColdStart.orNone(cold);
  }

  /** Creates a service whose upstreams serve at full rate from their start. */
  public RelayService(
      String name, String healthPath, int maxConnections, @Nullable EngineProfile engine) {
    this(name, healthPath, maxConnections, engine, ColdStart.NONE);
  }
}
