package org.skylarkfork.core.admission;

import java.time.Instant;
import java.util.function.IntSupplier;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.Team;

/**
 * Gives each live entry the same share, without a word between entries.
 *
 * <p>The shares of an entry that died come back to the others as soon as it counts as dead. A limit
 * below the number of entries still lets one request at a time through each, so that no team is
 * locked out; it is then exceeded.
 */
public final class EvenShares implements LimitShares {

  private final IntSupplier liveEntries;

  /**
   * Makes shares.
   *
   * @param liveEntries how many entries there are, this one included
   */
  public EvenShares(IntSupplier liveEntries) {
    this.liveEntries = liveEntries;
  }

  @Override
  public Limits share(Team team, Instant now) {
    Limits teamLimits = team.limits();
    int entries = Math.max(1, liveEntries.getAsInt());
    return new Limits(
        teamLimits.requestsPerSecond() / entries,
        atLeastOne(teamLimits.concurrentRequests(), entries),
        atLeastOne(teamLimits.tokensPerMinute(), entries));
  }

  private static int atLeastOne(int limit, int entries) {
    return limit == 0 ? 0 : Math.max(1, limit / entries);
  }

  private static long atLeastOne(long limit, int entries) {
    return limit == 0 ? 0 : Math.max(1, limit / entries);
  }
}
