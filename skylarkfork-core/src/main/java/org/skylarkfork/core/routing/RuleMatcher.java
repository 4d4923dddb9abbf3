package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.Optional;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.request.CallerRequest;

/** The rules of one configuration, made ready for matching. */
public interface RuleMatcher {

  /**
   * Finds the first rule whose condition holds.
   *
   * @param request the request
   * @param team name of the team that sent it
   * @param now the present time, for conditions on the time of day
   * @return the rule, or empty if none matches
   */
  Optional<Rule> match(CallerRequest request, String team, Instant now);

  /** Says for each rule up to the match why it did or didn't match, for a dry run. */
  String explain(CallerRequest request, String team, Instant now);
}
