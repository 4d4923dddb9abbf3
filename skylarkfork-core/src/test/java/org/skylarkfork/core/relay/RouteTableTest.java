package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.Test;

/** Tests {@link RouteTable} and {@link RelayConfigurationValidator}. */
public final class RouteTableTest {

  private static RelayRoute route(String name, String prefix, int timeout, int weight) {
    return new RelayRoute(
        name,
        "host.example",
        prefix,
        RouteKind.IDEMPOTENT,
        List.of(new WeightedService("service", weight)),
        timeout,
        0,
        0,
        1,
        0,
        true,
        false,
        false,
        List.of());
  }

  private static RelayConfiguration configuration(List<RelayRoute> routes, List<RelayTeam> teams) {
    return new RelayConfiguration(
        1,
        routes,
        List.of(new RelayService("service", "/h", 10, null)),
        teams,
        RelayLimits.DEFAULT);
  }

  @Test
  public void longestPathPrefixOfHostMatches() {
    RouteTable table =
        new RouteTable(
            configuration(
                List.of(route("short", "/a/", 1, 1), route("long", "/a/b/", 1, 1)), List.of()));
    assertEquals(routeName(table, "host.example", "/a/b/c"), "long");
    assertEquals(routeName(table, "HOST.example:80", "/a/c?x=/a/b/"), "short");
    assertNull(table.route("host.example", "/a"));
    assertNull(table.route("other.example", "/a/b/"));
  }

  private static String routeName(RouteTable table, String host, String path) {
    RelayRoute route = table.route(host, path);
    assertNotNull(route);
    return route.name();
  }

  @Test
  public void eachInvalidConfigurationHasOneProblem() {
    RelayTeam one = new RelayTeam("one", List.of("key"), null);
    RelayTeam other = new RelayTeam("other", List.of("key"), null);
    RelayRoute good = route("good", "/a/", 1, 1);
    assertEquals(problemCount(List.of(good), List.of(one)), 0);
    assertEquals(problemCount(List.of(good), List.of(one, other)), 1);
    assertEquals(problemCount(List.of(good, route("twin", "/a/", 1, 1)), List.of()), 1);
    assertEquals(problemCount(List.of(route("timeless", "/a/", 0, 1)), List.of()), 1);
    assertEquals(problemCount(List.of(route("weightless", "/a/", 1, 0)), List.of()), 1);
    RelayConfiguration unknown =
        new RelayConfiguration(1, List.of(good), List.of(), List.of(), RelayLimits.DEFAULT);
    assertEquals(RelayConfigurationValidator.problems(unknown).size(), 1);
  }

  /** Guards against limits by which an entry refuses each caller, whoever sends them. */
  @Test
  public void limitsThatAreNotAboveZeroAreProblems() {
    for (int limit : new int[] {0, -1, Integer.MIN_VALUE}) {
      assertEquals(limitProblems(new RelayLimits(limit, 1, 1, 1)), 1);
      assertEquals(limitProblems(new RelayLimits(1, limit, 1, 1)), 1);
      assertEquals(limitProblems(new RelayLimits(1, 1, limit, 1)), 1);
      assertEquals(limitProblems(new RelayLimits(1, 1, 1, limit)), 1);
    }
    assertEquals(limitProblems(new RelayLimits(1, 1, 1, Integer.MAX_VALUE)), 0);
  }

  /** Guards against services whose upstreams can never be sent a request. */
  @Test
  public void capacitiesThatCannotBeMeantAreProblems() {
    List<ModelPrice> free = List.of(new ModelPrice("small", 0));
    ColdStart never = ColdStart.NONE;
    assertEquals(serviceProblems(1, new EngineProfile(1, 0, free), never), 0);
    assertEquals(serviceProblems(0, null, never), 1);
    assertEquals(serviceProblems(-1, null, never), 1);
    assertEquals(serviceProblems(1, new EngineProfile(0, 0, free), never), 1);
    assertEquals(serviceProblems(1, new EngineProfile(1, -1, free), never), 1);
    assertEquals(serviceProblems(1, null, new ColdStart(-1, 0)), 1);
    for (double amount : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
      List<ModelPrice> odd = List.of(new ModelPrice("small", amount));
      assertEquals(serviceProblems(1, new EngineProfile(1, 0, odd), never), 1);
      assertEquals(serviceProblems(1, null, new ColdStart(1, amount)), 1);
    }
  }

  private static int serviceProblems(
      int maxConnections, @Nullable EngineProfile engine, ColdStart cold) {
    RelayService service = new RelayService("s", "/", maxConnections, engine, cold);
    return RelayConfigurationValidator.problems(
            new RelayConfiguration(1, List.of(), List.of(service), List.of(), RelayLimits.DEFAULT))
        .size();
  }

  private static int limitProblems(RelayLimits limits) {
    return RelayConfigurationValidator.problems(
            new RelayConfiguration(1, List.of(), List.of(), List.of(), limits))
        .size();
  }

  private static int problemCount(List<RelayRoute> routes, List<RelayTeam> teams) {
    return RelayConfigurationValidator.problems(configuration(routes, teams)).size();
  }
}
