package org.skylarkfork.standin.measure.daemon;

import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.Price;
import org.skylarkfork.core.configuration.RollOut;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.configuration.ServiceDefinition;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.configuration.VersionPolicy;

/** The configuration that all runs begin with. */
final class MeasuredConfiguration {

  /** Wanted rating of a draft, and wanted chance of reaching it. */
  static final double TARGET = 0.85;

  /** The same of sessions, whose users rather have a quick answer than a better one. */
  static final double SESSION_TARGET = 0.6;

  private static final Price SMALL_PRICE = new Price(60, 240);
  private static final Price LARGE_PRICE = new Price(600, 2_400);
  private static final double SMALL_PRIOR = 0.7;
  private static final double LARGE_PRIOR = 0.95;

  private MeasuredConfiguration() {}

  /** Returns the configuration. */
  static Configuration begin() {
    return new Configuration(
        1,
        teams(),
        models(),
        List.of(
            new ServiceDefinition(Deployment.ISSUE, List.of("POST"), 4_000, 100),
            new ServiceDefinition(Deployment.LOOKUP, List.of(), 1_000, 1)),
        rules(),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        new VersionPolicy(
            true, VersionPolicy.DEFAULT.falseAlarmRate(), VersionPolicy.DEFAULT.tolerance()),
        List.of());
  }

  /** Returns the roll-out of the small model's new version at a share. */
  static RollOut rollOut(int percent) {
    return new RollOut(
        "small",
        Deployment.SMALL_OLD.version(),
        Deployment.SMALL_NEW.version(),
        List.of(new RollOut.Step(percent, List.of(), List.of())),
        0,
        RollOut.State.RUNNING);
  }

  private static List<Team> teams() {
    List<Team> teams = new ArrayList<>();
    for (int i = 0; i < Deployment.TEAMS; i++) {
      String name = Deployment.team(i);
      teams.add(
          new Team(
              name,
              List.of(new Team.Key("first", name)),
              List.of(
                  new Team.AllowedModel("small", List.of()),
                  new Team.AllowedModel("large", List.of())),
              List.of(Deployment.ISSUE, Deployment.LOOKUP),
              Limits.NONE,
              1));
    }
    return teams;
  }

  private static List<Model> models() {
    return List.of(
        new Model("large", List.of(new Model.Version("1", LARGE_PRICE, LARGE_PRIOR)), "1"),
        new Model(
            "small",
            List.of(
                new Model.Version("1", SMALL_PRICE, SMALL_PRIOR),
                new Model.Version("2", SMALL_PRICE, SMALL_PRIOR)),
            "1"));
  }

  private static List<Rule> rules() {
    Rule.Condition services =
        new Rule.Condition(
            List.of(),
            List.of(),
            List.of(Deployment.ISSUE, Deployment.LOOKUP),
            List.of(),
            null,
            null,
            null,
            null,
            null,
            null);
    return List.of(
        new Rule("services", services, new Rule.Decision.ToService()),
        new Rule(
            "sessions",
            new Rule.Condition(
                List.of(), List.of(), List.of(), List.of(), null, null, null, true, null, null),
            new Rule.Decision.Route(
                List.of("small", "large"), Rule.PlanKind.CHEAPEST, SESSION_TARGET, null)),
        new Rule(
            "drafts",
            Rule.Condition.ALWAYS,
            new Rule.Decision.Route(
                List.of("small", "large"), Rule.PlanKind.CHEAPEST, TARGET, null)));
  }
}
