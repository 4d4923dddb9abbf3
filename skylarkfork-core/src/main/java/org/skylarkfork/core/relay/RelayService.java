package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;

/**
 * A service whose upstreams announce themselves.
 *
 * @param name name of the service
 * @param healthPath path of its health check
 * @param maxConnections connections that one upstream takes from all entries together
 * @param engine what its engines can do, or null for a plain service
 */
public record RelayService(
    String name, String healthPath, int maxConnections, @Nullable EngineProfile engine) {}
