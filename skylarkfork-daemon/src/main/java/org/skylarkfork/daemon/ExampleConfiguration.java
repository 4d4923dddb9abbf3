package org.skylarkfork.daemon;

import java.util.List;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.OperatorKey;
import org.skylarkfork.core.configuration.Price;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.configuration.ServiceDefinition;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.configuration.VersionPolicy;
import org.skylarkfork.runtime.http.Sha256;

/** The configuration that quickstart loads: two models, two services and two teams. */
public final class ExampleConfiguration {

  /** Key of the team that may use all. */
  public static final String TEAM_KEY = "quickstart-team-key";

  /** Key of the team that may only use the small model. */
  public static final String SMALL_TEAM_KEY = "quickstart-small-team-key";

  /** Key of the operator. */
  public static final String OPERATOR_KEY = "quickstart-operator-key";

  /** Cheap model. */
  public static final String SMALL = "ruling-small";

  /** Model of higher quality and price. */
  public static final String LARGE = "ruling-large";

  /** Service whose calls may be repeated. */
  public static final String LOOKUP = "register";

  /** Service whose POST calls run at most once. */
  public static final String CERTIFICATES = "certificates";

  private static final int EQUAL_WEIGHT = 1;

  private ExampleConfiguration() {}

  /** Returns the configuration. */
  public static Configuration configuration() {
    return new Configuration(
        1,
        List.of(
            team("quickstart", TEAM_KEY, List.of(SMALL, LARGE)),
            team("quickstart-small", SMALL_TEAM_KEY, List.of(SMALL))),
        List.of(model(LARGE, 600, 2400, 0.95), model(SMALL, 60, 240, 0.7)),
        List.of(
            new ServiceDefinition(CERTIFICATES, List.of("POST"), 5_000, 100),
            new ServiceDefinition(LOOKUP, List.of(), 2_000, 1)),
        rules(),
        List.of(),
        List.of(new ModelVersion(SMALL, "1")),
        List.of(),
        List.of(),
        List.of(new OperatorKey("quickstart", Sha256.hex(OPERATOR_KEY))),
        VersionPolicy.DEFAULT,
        List.of());
  }

  private static Team team(String name, String key, List<String> models) {
    return new Team(
        name,
        List.of(new Team.Key("first", Sha256.hex(key))),
        models.stream().map(model -> new Team.AllowedModel(model, List.of())).toList(),
        List.of(CERTIFICATES, LOOKUP),
        Limits.NONE,
        EQUAL_WEIGHT);
  }

  private static Model model(String name, long prompt, long completion, double quality) {
    Price price = new Price(prompt, completion);
    return new Model(
        name,
        List.of(new Model.Version("1", price, quality), new Model.Version("2", price, quality)),
        "2");
  }

  private static List<Rule> rules() {
    return List.of(
        new Rule(
            "services",
            condition(List.of(), List.of(CERTIFICATES, LOOKUP)),
            new Rule.Decision.ToService()),
        new Rule(
            "named-large",
            condition(List.of(LARGE), List.of()),
            new Rule.Decision.Route(List.of(LARGE), Rule.PlanKind.DIRECT, 0.9, null)),
        new Rule(
            "named-small",
            condition(List.of(SMALL), List.of()),
            new Rule.Decision.Route(List.of(SMALL), Rule.PlanKind.DIRECT, 0.6, null)),
        new Rule(
            "everything-else",
            Rule.Condition.ALWAYS,
            new Rule.Decision.Route(List.of(SMALL, LARGE), Rule.PlanKind.CHEAPEST, 0.8, null)));
  }

  private static Rule.Condition condition(List<String> models, List<String> services) {
    return new Rule.Condition(
        List.of(), models, services, List.of(), null, null, null, null, null, null);
  }
}
