package org.skylarkfork.core.admission;

import java.time.Instant;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.Team;

/** This entry's share of what a team may use over all entries. */
public interface LimitShares {

  /** Stands in a share for a limited amount of which this entry may use nothing at present. */
  int NO_SHARE = -1;

  /**
   * Returns what the team may use through this entry; a limit of 0 stays no limit.
   *
   * <p>Concurrency and tokens may be {@link #NO_SHARE}; requests then wait for a later share.
   *
   * @param team the team
   * @param now the present time
   */
  Limits share(Team team, Instant now);
}
