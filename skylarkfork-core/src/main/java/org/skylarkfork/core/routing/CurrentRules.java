package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.request.CallerRequest;

/** The rules of the configuration in force, indexed again whenever they change. */
public final class CurrentRules implements RuleBook {

  private final ConfigurationView configuration;
  private List<Rule> sourceRules = List.of();
  private RuleBook compiled = new CompiledRules(List.of());

  /**
   * Makes a rule book.
   *
   * @param configuration where the rules come from
   */
  public CurrentRules(ConfigurationView configuration) {
    this.configuration = configuration;
  }

  @Override
  public Optional<Rule> match(CallerRequest request, String team, Instant now) {
    return currentMatcher().match(request, team, now);
  }

  @Override
  public String explain(CallerRequest request, String team, Instant now) {
    return currentMatcher().explain(request, team, now);
  }

  private RuleBook currentMatcher() {
    List<Rule> rules = configuration.current().rules();
    if (rules != sourceRules) {
      compiled = new CompiledRules(rules);
      sourceRules = rules;
    }
    return compiled;
  }
}
