package org.skylarkfork.core.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Indexes a configuration by host, key and service for look-ups. */
public final class RouteTable {

  private final RelayConfiguration configuration;
  private final Map<String, List<RelayRoute>> byHost = new HashMap<>();
  private final Map<String, RelayTeam> byKey = new HashMap<>();
  private final Map<String, RelayService> services = new HashMap<>();

  /**
   * Indexes a configuration.
   *
   * @param configuration a valid configuration
   */
  public RouteTable(RelayConfiguration configuration) {
    this.configuration = configuration;
    for (RelayRoute route : configuration.routes()) {
      byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<RelayRoute> longestFirst =
        Comparator.comparingInt((RelayRoute route) -> route.pathPrefix().length()).reversed();
    byHost.values().forEach(routes -> routes.sort(longestFirst));
    for (RelayTeam team : configuration.teams()) {
      team.keys().forEach(key -> byKey.put(key, team));
    }
    configuration.services().forEach(service -> services.put(service.name(), service));
  }

  /** Returns the configuration. */
  public RelayConfiguration configuration() {
    return configuration;
  }

  /** Returns whether requests to routes that aren't public require a key. */
  public boolean requiresKeys() {
    return !configuration.teams().isEmpty();
  }

  /**
   * Returns the route of a request, or null if none matches.
   *
   * @param host host that the request names; a port is ignored
   * @param path path with or without a query
   */
  public @Nullable RelayRoute route(String host, String path) {
    List<RelayRoute> routes = byHost.get(hostName(host));
    if (routes == null) {
      return null;
    }
    int query = path.indexOf('?');
    String pathWithoutQuery = query < 0 ? path : path.substring(0, query);
    for (RelayRoute route : routes) {
      if (pathWithoutQuery.startsWith(route.pathPrefix())) {
        return route;
      }
    }
    return null;
  }

  private static String hostName(String host) {
    int port = host.lastIndexOf(':');
    String name = port < 0 || host.endsWith("]") ? host : host.substring(0, port);
    return name.toLowerCase(Locale.ROOT);
  }

  /** Returns the team that holds a key, or null if none does. */
  public @Nullable RelayTeam team(@Nullable String key) {
    return key == null ? null : byKey.get(key);
  }

  /** Returns a service, or null if there is none of that name. */
  public @Nullable RelayService service(String name) {
    return services.get(name);
  }
}
