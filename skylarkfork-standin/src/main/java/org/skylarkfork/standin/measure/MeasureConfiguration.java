package org.skylarkfork.standin.measure;

import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.Price;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.configuration.Team;

/** Teams and rules of the planned size for the measuring programs. */
final class MeasureConfiguration {

  static final int RULES = 500;
  private static final int MODELS = 10;

  private MeasureConfiguration() {}

  /** Returns changes that make ten models, some teams and 500 rules, in order. */
  static List<ConfigurationChange> changes(int teams) {
    List<ConfigurationChange> changes = new ArrayList<>();
    Price price = new Price(200, 800);
    for (int number = 0; number < MODELS; number++) {
      Model.Version version = new Model.Version("1", price, 0.9);
      changes.add(
          new ConfigurationChange.PutModel(new Model("model-" + number, List.of(version), "1")));
    }
    for (int number = 0; number < teams; number++) {
      changes.add(new ConfigurationChange.PutTeam(team(number, 0)));
    }
    List<Rule> rules = new ArrayList<>();
    for (int number = 0; number < RULES; number++) {
      rules.add(rule(number, teams, 0.8));
    }
    changes.add(new ConfigurationChange.PutRules(rules));
    return changes;
  }

  static Team team(int number, int requests) {
    return new Team(
        "team-" + number,
        List.of(new Team.Key("main", String.format("%064x", number))),
        List.of(new Team.AllowedModel("model-" + number % MODELS, List.of())),
        List.of(),
        new Limits(requests, 0, 0),
        1);
  }

  static Rule rule(int number, int teams, double target) {
    Rule.Condition when =
        new Rule.Condition(
            List.of("team-" + number % teams),
            List.of(),
            List.of(),
            List.of(),
            null,
            null,
            null,
            null,
            null,
            null);
    List<String> models = List.of("model-" + number % teams % MODELS);
    return new Rule(
        "rule-" + number,
        when,
        new Rule.Decision.Route(models, Rule.PlanKind.CHEAPEST, target, null));
  }
}
