package org.skylarkfork.core.configuration;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.ConfigurationCommand.SubmitChange;

/** Sample configurations and changes shared by the tests. */
final class Samples {

  static final Instant START = Instant.parse("2026-06-06T08:00:00Z");
  static final ModelVersion DRAFT_2 = new ModelVersion("draft", "2");

  private Samples() {}

  static String hash(String key) {
    return Sha256.hex(key);
  }

  static Model model(String name) {
    Price price = new Price(200, 800);
    return new Model(
        name, List.of(new Model.Version("1", price, 0.9), new Model.Version("2", price, 0.8)), "1");
  }

  static Team team(String name) {
    return new Team(
        name,
        List.of(new Team.Key("main", hash(name))),
        List.of(new Team.AllowedModel("draft", List.of())),
        List.of("lookup"),
        Limits.NONE,
        1);
  }

  static Rule rule(String name, String team) {
    Rule.Condition when =
        new Rule.Condition(
            List.of(team), List.of(), List.of(), List.of(), null, null, null, null, null, null);
    return new Rule(
        name, when, new Rule.Decision.Route(List.of("draft"), Rule.PlanKind.CHEAPEST, 0.8, null));
  }

  /** Returns a valid configuration with the given numbers of teams and rules, at revision 1. */
  static Configuration configuration(int teams, int rules) {
    List<Team> someTeams = new ArrayList<>();
    for (int number = 0; number < teams; number++) {
      someTeams.add(team("team" + number));
    }
    List<Rule> someRules = new ArrayList<>();
    for (int number = 0; number < rules; number++) {
      someRules.add(rule("rule" + number, "team" + number % teams));
    }
    return new ConfigurationDraft(
            new Configuration(
                0,
                someTeams,
                List.of(model("draft")),
                List.of(new ServiceDefinition("lookup", List.of("POST"), 500, 10)),
                someRules,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(new OperatorKey("anna", hash("anna")), new OperatorKey("ben", hash("ben"))),
                VersionPolicy.DEFAULT,
                List.of()))
        .sort()
        .build(1);
  }

  static SubmitChange submit(
      String changeId, String operator, @Nullable Long expected, ConfigurationChange change) {
    return new SubmitChange(
        changeId, operator, hash(operator), expected, change, change + "|" + expected);
  }

  /**
   * Returns a state machine that has accepted the configuration as its only change, at revision 1.
   */
  static ConfigurationMachine machine(Configuration configuration) {
    ConfigurationMachine machine = new ConfigurationMachine();
    apply(machine, submit("load", "anna", 0L, new ConfigurationChange.ReplaceAll(configuration)));
    return machine;
  }

  static CommandResult apply(ConfigurationMachine machine, SubmitChange submitted) {
    return machine.apply(1, START, submitted);
  }
}
