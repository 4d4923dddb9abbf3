package org.skylarkfork.core.admission;

import java.time.Instant;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.Team;

/** This entry's shares of the limits that teams have over all entries. */
public interface LimitShares {

  /** Marks a limited amount of which this entry may currently use nothing. */
  int NO_SHARE = -1;

  /**
   * Returns the team's limits at this entry; 0 means no limit, as in the team's own limits.
   *
   * <p>Concurrency and tokens may be {@link #NO_SHARE}; requests then wait for a later share.
   *
   * @param team the team
   * @param now the present time
   */
  Limits share(Team team, Instant now);
}
