package org.skylarkfork.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.event.OperatorEvent;
import org.testng.annotations.Test;

/** Tests what operators are told of a request that is not run. */
public class DryRunPartTest {

  private final RoutingFakes.FakeConfiguration configuration = new RoutingFakes.FakeConfiguration();
  private final RoutingFakes.FakeQuality quality = new RoutingFakes.FakeQuality();

  @Test
  public void reportsRuleReasonAndVersion() {
    OperatorEffect.DryRunResult result = (OperatorEffect.DryRunResult) run("club", "ruling");
    assertEquals(result.rule(), "rulings");
    assertTrue(result.reason().startsWith("other: the model is not in its list\nrulings: matches"));
    assertEquals(result.version(), new ModelVersion("ruling", "1"));
  }

  @Test
  public void reportsThatNoRuleMatches() {
    OperatorEffect.DryRunResult result = (OperatorEffect.DryRunResult) run("club", "unknown");
    assertNull(result.rule());
    assertNull(result.version());
  }

  @Test
  public void refusesAnUnknownTeam() {
    OperatorEffect.RefuseOperator refusal = (OperatorEffect.RefuseOperator) run("nobody", "x");
    assertEquals(refusal.error().kind(), ErrorKind.NOT_FOUND);
  }

  private Effect run(String team, String model) {
    configuration.teams =
        List.of(RoutingFakes.team("club", new Team.AllowedModel("ruling", List.of())));
    configuration.models = List.of(RoutingFakes.model("ruling", "1", 10, 0.8, "1"));
    Rule.Decision.Route route = RoutingFakes.route(Rule.PlanKind.DIRECT, 0.8, "ruling");
    configuration.rules =
        List.of(
            new Rule("other", when("commentary"), route),
            new Rule("rulings", when("ruling"), route));
    VersionChooser versions =
        new VersionChooser(
            configuration,
            new RoutingFakes.FakeDirectory(),
            quality,
            new RoutingFakes.FakePins(),
            "a");
    Planner planner = new DirectPlanner(new Candidates(configuration, versions));
    DryRunPart part = new DryRunPart(configuration, new CurrentRules(configuration), planner);
    OperatorEvent.DryRun event =
        new OperatorEvent.DryRun("c1", team, RoutingFakes.request("r", model, null));
    List<Effect> effects = new Reducer(List.of(part)).apply(event, RoutingFakes.NOW);
    assertEquals(effects.size(), 1);
    return effects.get(0);
  }

  private static Rule.Condition when(String model) {
    return new Rule.Condition(
        List.of(), List.of(model), List.of(), List.of(), null, null, null, null, null, null);
  }
}
