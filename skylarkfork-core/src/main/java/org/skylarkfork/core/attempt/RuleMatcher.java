package org.skylarkfork.core.attempt;

import java.time.Instant;
import java.util.Optional;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.routing.RuleBook;

/** Matches requests against the rules of the current configuration, compiled once per revision. */
final class RuleMatcher {

  private static final long NO_REVISION = -1;

  private final ConfigurationView configuration;
  private final Function<Configuration, RuleBook> ruleBooks;
  private long revision = NO_REVISION;
  private @Nullable RuleBook ruleBook;

  RuleMatcher(ConfigurationView configuration, Function<Configuration, RuleBook> ruleBooks) {
    this.configuration = configuration;
    this.ruleBooks = ruleBooks;
  }

  Optional<Rule> match(CallerRequest request, String team, Instant now) {
    return currentRuleBook().match(request, team, now);
  }

  private RuleBook currentRuleBook() {
    Configuration current = configuration.current();
    RuleBook compiled = ruleBook;
    if (compiled == null || revision != current.revision()) {
      compiled = ruleBooks.apply(current);
      ruleBook = compiled;
      revision = current.revision();
    }
    return compiled;
  }
}
