package org.skylarkfork.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Validates configurations of the relay. */
public final class RelayConfigurationValidator {

  private RelayConfigurationValidator() {}

  /**
   * Validates a configuration.
   *
   * @param configuration the configuration that an operator sent
   * @return the problems, one sentence each with its remedy; empty if the configuration is valid
   */
  public static List<String> problems(RelayConfiguration configuration) {
    List<String> problems = new ArrayList<>();
    Set<String> services = checkServices(configuration, problems);
    checkRoutes(configuration, services, problems);
    checkTeams(configuration, problems);
    checkLimits(configuration.limits(), problems);
    return problems;
  }

  private static Set<String> checkServices(
      RelayConfiguration configuration, List<String> problems) {
    Set<String> names = new HashSet<>();
    for (RelayService service : configuration.services()) {
      if (service.name().isEmpty()) {
        problems.add("a service has no name; give it one");
      } else if (!names.add(service.name())) {
        problems.add("service " + service.name() + " stands twice; drop one");
      }
      checkCapacity(service, problems);
    }
    return names;
  }

  private static void checkCapacity(RelayService service, List<String> problems) {
    String name = "service " + service.name();
    if (service.maxConnections() < 1) {
      problems.add(name + ": allow at least one connection to an upstream");
    }
    if (service.cold().millis() < 0 || !isAmount(service.cold().perSecond())) {
      problems.add(name + ": set the time and the rate of its cold start to 0 or more");
    }
    EngineProfile engine = service.engine();
    if (engine != null) {
      checkEngine(name, engine, problems);
    }
  }

  private static void checkEngine(String name, EngineProfile engine, List<String> problems) {
    if (engine.slots() < 1) {
      problems.add(name + ": give its engines at least one slot");
    }
    if (engine.memoryTokens() < 0) {
      problems.add(name + ": set the memory of its engines to 0 or more");
    }
    for (ModelPrice model : engine.models()) {
      if (!isAmount(model.cost())) {
        problems.add(name + ": set the cost of " + model.name() + " to 0 or more");
      }
    }
  }

  private static boolean isAmount(double number) {
    return number >= 0 && number <= Double.MAX_VALUE;
  }

  private static void checkRoutes(
      RelayConfiguration configuration, Set<String> services, List<String> problems) {
    Set<String> hostsAndPrefixes = new HashSet<>();
    for (RelayRoute route : configuration.routes()) {
      if (!hostsAndPrefixes.add(route.host() + " " + route.pathPrefix())) {
        problems.add(
            "two routes share " + route.host() + route.pathPrefix() + "; give one another prefix");
      }
      checkRoute(route, services, problems);
    }
  }

  private static void checkRoute(RelayRoute route, Set<String> services, List<String> problems) {
    String name = "route " + route.name();
    if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
      problems.add(name + ": begin and end the path prefix with a slash");
    }
    if (route.timeoutMillis() <= 0) {
      problems.add(name + ": set a timeout above 0");
    }
    if (route.maxAttempts() < 1) {
      problems.add(name + ": allow at least one attempt");
    }
    if (route.objectiveMillis() < 0 || route.pauseMillis() < 0) {
      problems.add(name + ": set its objectives to 0 or more");
    }
    long weights = 0;
    for (WeightedService target : route.services()) {
      if (!services.contains(target.service())) {
        problems.add(name + ": add the service " + target.service() + " or name another one");
      }
      if (target.weight() < 0) {
        problems.add(name + ": set the weight of " + target.service() + " to 0 or more");
      }
      weights += Math.max(0, target.weight());
    }
    if (weights == 0) {
      problems.add(name + ": give one of its services a weight above 0");
    }
  }

  private static void checkLimits(RelayLimits limits, List<String> problems) {
    checkLimit("size of heads", limits.maxHeaderBytes(), problems);
    checkLimit("size of bodies", limits.maxBodyBytes(), problems);
    checkLimit("time to receive a head", limits.headerTimeoutMillis(), problems);
    checkLimit("time that a connection is idle", limits.idleTimeoutMillis(), problems);
  }

  private static void checkLimit(String name, int limit, List<String> problems) {
    if (limit <= 0) {
      problems.add("limit on the " + name + ": set one above 0");
    }
  }

  private static void checkTeams(RelayConfiguration configuration, List<String> problems) {
    Map<String, String> owners = new HashMap<>();
    Set<String> names = new HashSet<>();
    for (RelayTeam team : configuration.teams()) {
      if (!names.add(team.name())) {
        problems.add("team " + team.name() + " stands twice; drop one");
      }
      for (String key : team.keys()) {
        String owner = owners.put(key, team.name());
        if (owner != null && !owner.equals(team.name())) {
          problems.add("teams " + owner + " and " + team.name() + " share a key; replace one");
        }
      }
    }
  }
}
