package org.skylarkfork.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.RollOut;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.quality.VersionQuality;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what the planners choose and that they choose only what is allowed. */
public class PlannersTest {

  private static final ModelVersion SMALL = new ModelVersion("small", "1");
  private static final ModelVersion MEDIUM = new ModelVersion("medium", "1");
  private static final ModelVersion LARGE = new ModelVersion("large", "1");
  private static final Team CLUB =
      RoutingFakes.team(
          "club",
          new Team.AllowedModel("small", List.of()),
          new Team.AllowedModel("medium", List.of()),
          new Team.AllowedModel("large", List.of()));

  private RoutingFakes.FakeConfiguration configuration;
  private RoutingFakes.FakeDirectory directory;
  private RoutingFakes.FakeQuality quality;
  private RoutingFakes.FakePins pins;
  private Candidates candidates;

  /** Makes three models, each ten times as dear as the one before. */
  @BeforeMethod
  public void setUp() {
    configuration = new RoutingFakes.FakeConfiguration();
    configuration.models =
        List.of(
            RoutingFakes.model("small", "1", 10, 0.6, "1", "2"),
            RoutingFakes.model("medium", "1", 100, 0.8, "1", "2"),
            RoutingFakes.model("large", "1", 1_000, 0.95, "1", "2"));
    directory = new RoutingFakes.FakeDirectory();
    quality = new RoutingFakes.FakeQuality();
    pins = new RoutingFakes.FakePins();
    VersionChooser versions =
        new VersionChooser(configuration, directory, quality, pins, "utrecht-a");
    candidates = new Candidates(configuration, versions);
    setEstimate(SMALL, 0.7, 0.02);
    setEstimate(MEDIUM, 0.85, 0.02);
    setEstimate(LARGE, 0.97, 0.01);
  }

  @Test
  public void leastCostPlanDependsOnQualityTarget() {
    assertEquals(steps(plan(0.6, null)), List.of(SMALL));
    assertEquals(steps(plan(0.85, null)), List.of(SMALL, MEDIUM));
    assertEquals(steps(plan(0.985, null)), List.of(SMALL, MEDIUM, LARGE));
    Plan cascade = plan(0.85, null);
    assertEquals(cascade.steps().stream().map(Plan.Step::rated).toList(), List.of(true, false));
    assertEquals(cascade.expectedCostMicros(), 18 + 0.3 * 180, 1e-6);
  }

  @Test
  public void uncertainEstimateDoesNotMeetTarget() {
    setEstimate(SMALL, 0.7, 0.4);
    assertFalse(steps(plan(0.6, null)).equals(List.of(SMALL)));
  }

  @Test
  public void unreachableTargetSelectsMostLikelyPlan() {
    setEstimate(SMALL, 0.1, 0);
    setEstimate(MEDIUM, 0.1, 0);
    setEstimate(LARGE, 0.5, 0);
    assertEquals(steps(plan(0.99, null)).size(), 3);
  }

  /*
   * A caller with little time asks for a target that a cascade reaches most cheaply. If the cheap
   * step fell short, the dear one would end after the deadline and the caller would get nothing;
   * so the plan is the single model that is enough.
   */
  @Test
  public void shortDeadlineExcludesCascades() {
    PlannerSettings slow = new PlannerSettings(0, 300, 0.5, 1.5, 30_000, 0, 1);
    assertEquals(
        steps(planner(slow).plan(query(0.85, null, null), RoutingFakes.NOW).get()), List.of(LARGE));
  }

  @Test
  public void sessionsKeepTheirModelAndNeverCascade() {
    assertEquals(steps(plan(0.85, "s")), List.of(LARGE));
    pins.pin("club", "s", MEDIUM, RoutingFakes.NOW);
    assertEquals(steps(plan(0.85, "s")), List.of(MEDIUM));
    directory.without.add(MEDIUM);
    assertTrue(
        planner(settingsWithoutExploration())
            .plan(query(0.85, "s", MEDIUM), RoutingFakes.NOW)
            .isEmpty());
    configuration.withdrawn = List.of(MEDIUM);
    Plan moved = plan(0.85, "s");
    assertEquals(steps(moved), List.of(LARGE));
  }

  @Test
  public void withdrawnPinGivesNotice() {
    pins.pin("club", "s", LARGE, RoutingFakes.NOW);
    configuration.withdrawn = List.of(LARGE);
    configuration.rollOuts =
        List.of(new RollOut("large", "1", "2", List.of(), 0, RollOut.State.FINISHED));
    setEstimate(new ModelVersion("large", "2"), 0.97, 0);
    Plan moved = plan(0.9, "s");
    assertEquals(steps(moved), List.of(new ModelVersion("large", "2")));
    assertNotNull(moved.notice());
  }

  @Test
  public void baselinePlannersFollowTheirPolicy() {
    PlanQuery query = query(0.9, null, null);
    assertEquals(first(new BestModelPlanner(candidates, quality), query), LARGE);
    assertEquals(first(new CheapestModelPlanner(candidates), query), SMALL);
    assertEquals(first(new DirectPlanner(candidates), query), SMALL);
    Plan cascade = new FixedOrderPlanner(candidates).plan(query, RoutingFakes.NOW).get();
    assertEquals(steps(cascade), List.of(SMALL, MEDIUM, LARGE));
  }

  @Test
  public void explorationUsesItsShareAndIsAlwaysRated() {
    setEstimate(SMALL, 0.05, 0.3);
    setEstimate(MEDIUM, 0.95, 0);
    Planner planner = planner(new PlannerSettings(0, 300, 0.5, 1.5, 3_000, 0.02, 0.05));
    int explored = 0;
    for (int i = 0; i < 5_000; i++) {
      Plan plan = planner.plan(query(0.9, null, null), RoutingFakes.NOW).get();
      if (steps(plan).get(0).equals(SMALL)) {
        explored++;
        assertTrue(plan.steps().get(0).rated());
        assertEquals(steps(plan), List.of(SMALL, MEDIUM));
      }
    }
    assertEquals(explored, 100, 30);
  }

  /*
   * Whatever the configuration, the pins and the suspicions are, no plan may name a version that
   * the team isn't allowed or that is withdrawn: a draft would run where it never may.
   */
  @Test
  public void plansNeverIncludeForbiddenVersions() {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(99L);
    List<ModelVersion> all = new ArrayList<>();
    for (String model : List.of("small", "medium", "large")) {
      all.add(new ModelVersion(model, "1"));
      all.add(new ModelVersion(model, "2"));
    }
    int plans = 0;
    for (int round = 0; round < 3_000; round++) {
      configuration.withdrawn = randomSubset(all, random, 4);
      quality.suspects.clear();
      quality.suspects.addAll(randomSubset(all, random, 4));
      directory.without.clear();
      directory.without.addAll(randomSubset(all, random, 5));
      pins.pins.clear();
      randomSubset(all, random, 3).forEach(pin -> pins.pin("club", "s", pin, RoutingFakes.NOW));
      Team team = randomTeam(random);
      String session = random.nextBoolean() ? "s" : null;
      PlanQuery query =
          new PlanQuery(
              RoutingFakes.request("r" + round, "auto", session),
              team,
              RoutingFakes.route(Rule.PlanKind.CHEAPEST, 0.9, "small", "medium", "large"),
              random.nextBoolean() ? all.get(random.nextInt(6)) : null);
      for (Planner planner :
          List.of(planner(settingsWithoutExploration()), new FixedOrderPlanner(candidates))) {
        Optional<Plan> plan = planner.plan(query, RoutingFakes.NOW);
        plans += plan.isPresent() ? 1 : 0;
        for (ModelVersion version : plan.map(PlannersTest::steps).orElse(List.of())) {
          assertTrue(team.allows(version), version + " is not allowed");
          assertFalse(configuration.withdrawn.contains(version), version + " is withdrawn");
          assertFalse(directory.without.contains(version), version + " has no engine");
        }
      }
    }
    assertTrue(plans > 2_000, "plans " + plans);
  }

  private static <T> List<T> randomSubset(List<T> all, UniformRandomProvider random, int oneOf) {
    return all.stream().filter(item -> random.nextInt(oneOf) == 0).toList();
  }

  private static Team randomTeam(UniformRandomProvider random) {
    Team.AllowedModel[] allowed =
        IntStream.range(0, 3)
            .filter(i -> random.nextInt(4) > 0)
            .mapToObj(i -> List.of("small", "medium", "large").get(i))
            .map(name -> new Team.AllowedModel(name, randomSubset(List.of("1", "2"), random, 2)))
            .toArray(Team.AllowedModel[]::new);
    return RoutingFakes.team("club", allowed);
  }

  private void setEstimate(ModelVersion version, double mean, double deviation) {
    quality.estimates.put(version, new VersionQuality.Estimate(mean, deviation, 100));
  }

  private static PlannerSettings settingsWithoutExploration() {
    return new PlannerSettings(0, 300, 0.5, 1.5, 3_000, 0, 1);
  }

  private Planner planner(PlannerSettings settings) {
    return new LeastCostPlanner(candidates, quality, settings, 5L);
  }

  private Plan plan(double target, @Nullable String session) {
    return planner(settingsWithoutExploration())
        .plan(query(target, session, null), RoutingFakes.NOW)
        .get();
  }

  private static PlanQuery query(
      double target, @Nullable String session, @Nullable ModelVersion pinned) {
    return new PlanQuery(
        RoutingFakes.request("r", "auto", session),
        CLUB,
        RoutingFakes.route(Rule.PlanKind.CHEAPEST, target, "small", "medium", "large"),
        pinned);
  }

  private static ModelVersion first(Planner planner, PlanQuery query) {
    return steps(planner.plan(query, RoutingFakes.NOW).get()).get(0);
  }

  private static List<ModelVersion> steps(Plan plan) {
    return plan.steps().stream().map(Plan.Step::version).toList();
  }
}
