package org.skylarkfork.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.Header;
import org.skylarkfork.core.request.RequestKind;
import org.testng.annotations.Test;

/** Tests that the index finds the same rule as a walk through the list. */
public class CompiledRulesTest {

  private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(20260504L);

  @Test
  public void matchesSameRuleAsLinearScan() {
    int matched = 0;
    for (int round = 0; round < 300; round++) {
      List<Rule> rules = rules(1 + random.nextInt(40));
      RuleBook compiled = new CompiledRules(rules);
      for (int i = 0; i < 40; i++) {
        CallerRequest request = request();
        String team = pick("team", 6);
        Instant now = RoutingFakes.NOW.plusSeconds(random.nextInt(86_400));
        Optional<Rule> expected = linearScan(rules, request, team, now);
        assertEquals(compiled.match(request, team, now), expected);
        String last = compiled.explain(request, team, now).lines().reduce((a, b) -> b).get();
        assertEquals(
            last, expected.map(rule -> rule.name() + ": matches").orElse("no rule matches"));
        matched += expected.isPresent() ? 1 : 0;
      }
    }
    assertTrue(matched > 3_000 && matched < 11_500, "matched " + matched);
  }

  @Test
  public void timeOfDaySpansMidnightAndExcludesItsEnd() {
    Rule night = rule("night", condition(List.of(), 22 * 60, 6 * 60));
    RuleBook rules = new CompiledRules(List.of(night));
    CallerRequest request = RoutingFakes.request("r", "m", null);
    assertTrue(rules.match(request, "t", Instant.parse("2026-05-04T22:00:00Z")).isPresent());
    assertTrue(rules.match(request, "t", Instant.parse("2026-05-04T05:59:59Z")).isPresent());
    assertTrue(rules.match(request, "t", Instant.parse("2026-05-04T06:00:00Z")).isEmpty());
  }

  @Test
  public void manyCombinationsAreIndexedCorrectly() {
    List<String> teams = new ArrayList<>();
    for (int i = 0; i < 500; i++) {
      teams.add("team" + i);
    }
    Rule wide = rule("wide", condition(teams, null, null));
    RuleBook rules = new CompiledRules(List.of(wide));
    CallerRequest request = RoutingFakes.request("r", "m", null);
    assertTrue(rules.match(request, "team499", RoutingFakes.NOW).isPresent());
    assertTrue(rules.match(request, "team500", RoutingFakes.NOW).isEmpty());
  }

  private static Optional<Rule> linearScan(
      List<Rule> rules, CallerRequest request, String team, Instant now) {
    return rules.stream()
        .filter(rule -> Conditions.holds(rule.when(), request, team, now))
        .findFirst();
  }

  private List<Rule> rules(int count) {
    List<Rule> rules = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      rules.add(rule("rule" + i, randomCondition()));
    }
    return rules;
  }

  private Rule.Condition randomCondition() {
    return new Rule.Condition(
        randomNames("team", 6),
        randomNames("model", 4),
        random.nextInt(4) == 0 ? randomNames("service", 3) : List.of(),
        random.nextInt(4) == 0 ? List.of(new Header("X-Kind", pick("v", 2))) : List.of(),
        randomOrNull(500),
        randomOrNull(2_000),
        randomOrNull(10),
        random.nextInt(5) == 0 ? random.nextBoolean() : null,
        randomOrNull(1_440),
        randomOrNull(1_440));
  }

  private CallerRequest request() {
    boolean service = random.nextInt(4) == 0;
    return new CallerRequest(
        "r",
        "hash",
        service ? RequestKind.SERVICE : RequestKind.CHAT,
        service ? "" : pick("model", 4),
        service ? pick("service", 3) : "",
        "POST",
        "",
        random.nextBoolean() ? List.of(new Header("x-kind", pick("v", 2))) : List.of(),
        "",
        Bytes.EMPTY,
        random.nextInt(1_500),
        100,
        false,
        random.nextInt(10),
        random.nextBoolean() ? "session" : null,
        null,
        null,
        RoutingFakes.NOW,
        null);
  }

  private List<String> randomNames(String prefix, int kinds) {
    List<String> names = new ArrayList<>();
    while (random.nextInt(3) > 0) {
      names.add(pick(prefix, kinds));
    }
    return names;
  }

  private String pick(String prefix, int kinds) {
    return prefix + random.nextInt(kinds);
  }

  private @Nullable Integer randomOrNull(int bound) {
    return random.nextInt(6) == 0 ? random.nextInt(bound) : null;
  }

  private static Rule rule(String name, Rule.Condition condition) {
    return new Rule(name, condition, new Rule.Decision.Refuse("test"));
  }

  private static Rule.Condition condition(
      List<String> teams, @Nullable Integer from, @Nullable Integer to) {
    return new Rule.Condition(
        teams, List.of(), List.of(), List.of(), null, null, null, null, from, to);
  }
}
