package org.skylarkfork.core.attempt;

import java.time.Instant;
import java.util.Optional;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.routing.RuleMatcher;

/** The rules of the configuration in force, made ready once a revision. */
final class Routes {

  private static final long NONE = -1;

  private final ConfigurationView configuration;
  private final Function<Configuration, RuleMatcher> ruleMatchers;
  private long revision = NONE;
  private @Nullable RuleMatcher matcher;

  Routes(ConfigurationView configuration, Function<Configuration, RuleMatcher> ruleMatchers) {
    this.configuration = configuration;
    this.ruleMatchers = ruleMatchers;
  }

  Optional<Rule> match(CallerRequest request, String team, Instant now) {
    return present().match(request, team, now);
  }

  private RuleMatcher present() {
    Configuration current = configuration.current();
    RuleMatcher known = matcher;
    if (known == null || revision != current.revision()) {
      known = ruleMatchers.apply(current);
      matcher = known;
      revision = current.revision();
    }
    return known;
  }
}
