package org.skylarkfork.core.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationProblem.Kind;

/** Checks the rules of a configuration. */
final class RuleValidator {

  static final int MAX_VALUES = 1000;
  static final int MAX_HEADERS = 20;
  static final int MAX_TEXT_LENGTH = 500;
  static final int LOWEST_PRIORITY = 9;
  static final int MINUTES_PER_DAY = 1440;

  private final Problems problems;
  private final Set<String> teams;
  private final Set<String> models;
  private final Set<String> services;

  RuleValidator(Problems problems, Set<String> teams, Set<String> models, Set<String> services) {
    this.problems = problems;
    this.teams = teams;
    this.models = models;
    this.services = services;
  }

  void checkNames(List<Rule> rules) {
    problems.unique(rules, Rule::name, "rule");
  }

  void check(List<Rule> rules) {
    rules.forEach(this::check);
  }

  private void check(Rule rule) {
    String subject = "rule " + rule.name();
    problems.ruleName(rule.name(), subject);
    checkCondition(rule.when(), subject);
    if (rule.then() instanceof Rule.Decision.Route route) {
      checkRoute(route, subject);
    } else if (rule.then() instanceof Rule.Decision.Refuse refuse) {
      problems.text(refuse.reason(), MAX_TEXT_LENGTH, subject + " reason");
    }
  }

  private void checkCondition(Rule.Condition when, String subject) {
    if (problems.size(when.teams(), MAX_VALUES, subject + " teams")) {
      when.teams().forEach(team -> problems.reference(teams, team, "team", subject));
    }
    if (problems.size(when.services(), MAX_VALUES, subject + " services")) {
      when.services().forEach(service -> problems.reference(services, service, "service", subject));
    }
    // A caller may request a name that isn't a model, so any text is allowed here.
    if (problems.size(when.models(), MAX_VALUES, subject + " models")) {
      when.models().forEach(model -> problems.text(model, MAX_TEXT_LENGTH, subject + " models"));
    }
    if (problems.size(when.headers(), MAX_HEADERS, subject + " headers")) {
      when.headers()
          .forEach(
              header -> {
                problems.text(header.name(), MAX_TEXT_LENGTH, subject + " header");
                problems.text(header.value(), MAX_TEXT_LENGTH, subject + " header");
              });
    }
    checkBound(when.minPromptTokens(), Integer.MAX_VALUE, subject + " minPromptTokens");
    checkBound(when.maxPromptTokens(), Integer.MAX_VALUE, subject + " maxPromptTokens");
    checkBound(when.maxPriority(), LOWEST_PRIORITY, subject + " maxPriority");
    checkBound(when.fromMinute(), MINUTES_PER_DAY - 1, subject + " fromMinute");
    checkBound(when.toMinute(), MINUTES_PER_DAY, subject + " toMinute");
    Integer min = when.minPromptTokens();
    Integer max = when.maxPromptTokens();
    problems.require(
        min == null || max == null || min <= max,
        Kind.OUT_OF_RANGE,
        subject,
        "minPromptTokens is above maxPromptTokens, so it never holds; swap them");
  }

  private void checkBound(@Nullable Integer value, int max, String subject) {
    if (value != null) {
      problems.range(value, 0, max, subject);
    }
  }

  private void checkRoute(Rule.Decision.Route route, String subject) {
    problems.require(
        !route.models().isEmpty(),
        Kind.OUT_OF_RANGE,
        subject,
        "it names no model; name at least one");
    if (problems.size(route.models(), MAX_VALUES, subject + " models")) {
      Set<String> seen = new HashSet<>();
      for (String model : route.models()) {
        problems.reference(models, model, "model", subject);
        problems.require(
            seen.add(model),
            Kind.DUPLICATE,
            subject,
            "model " + model + " comes twice; remove one");
      }
    }
    problems.fraction(route.qualityTarget(), subject + " qualityTarget");
    checkBound(route.priority(), LOWEST_PRIORITY, subject + " priority");
  }
}
