package org.skylarkfork.core.admission;

import java.time.Instant;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.Team;

/** This entry's share of what a team may use over all entries. */
public interface LimitShares {

  /**
   * Returns what the team may use through this entry; a limit of 0 stays no limit.
   *
   * @param team the team
   * @param now the present time
   */
  Limits share(Team team, Instant now);
}
