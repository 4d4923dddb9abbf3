package org.skylarkfork.core.admission;

import java.time.Instant;
import java.util.function.IntSupplier;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.Team;

/**
 * Splits each limit evenly between the live entries, without messages between them.
 *
 * <p>The share of a dead entry goes to the other entries as soon as the entry is considered dead. A
 * concurrency or token limit below the number of entries still gives each entry a share of 1, so
 * that no team is locked out; the entries together then exceed the limit.
 */
public final class EvenShares implements LimitShares {

  private final IntSupplier liveEntries;

  /**
   * Creates even shares.
   *
   * @param liveEntries number of live entries, this one included
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
