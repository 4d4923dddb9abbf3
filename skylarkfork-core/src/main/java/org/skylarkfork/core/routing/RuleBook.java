package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.Optional;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.request.CallerRequest;

/** Matches requests against the rules of a configuration. */
public interface RuleBook {

  /**
   * Returns the first rule whose condition holds.
   *
   * @param request the request
   * @param team name of the team that sent the request
   * @param now the current time, for conditions on the time of day
   * @return the rule, or empty if none matches
   */
  Optional<Rule> match(CallerRequest request, String team, Instant now);

  /**
   * Explains a match for a dry run.
   *
   * @return one line for each rule up to the match, with the reason why the rule doesn't match
   */
  String explain(CallerRequest request, String team, Instant now);
}
