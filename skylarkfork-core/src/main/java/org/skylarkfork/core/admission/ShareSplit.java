package org.skylarkfork.core.admission;

import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.message.LimitMessage.TeamShare;

/** Splits a limit into a part that needs no lease and a part that the owner leases. */
record ShareSplit(double unleasedFraction) {

  /** Returns the share of each entry that needs no lease; 0 means nothing. */
  TeamShare unleased(String team, Limits teamLimits, int entries) {
    return new TeamShare(
        team,
        teamLimits.requestsPerSecond() * unleasedFraction / entries,
        (int) (teamLimits.concurrentRequests() * unleasedFraction) / entries,
        (long) (teamLimits.tokensPerMinute() * unleasedFraction) / entries);
  }

  /** Returns the total that the owner leases to all entries. */
  TeamShare pool(String team, Limits teamLimits) {
    return new TeamShare(
        team,
        teamLimits.requestsPerSecond() * (1 - unleasedFraction),
        teamLimits.concurrentRequests()
            - (int) (teamLimits.concurrentRequests() * unleasedFraction),
        teamLimits.tokensPerMinute() - (long) (teamLimits.tokensPerMinute() * unleasedFraction));
  }

  /**
   * Returns the sum of two shares as limits; a sum of 0 of a limited amount becomes {@link
   * LimitShares#NO_SHARE}.
   */
  static Limits combine(TeamShare one, TeamShare other, Limits teamLimits) {
    int slots = one.concurrentRequests() + other.concurrentRequests();
    long tokens = one.tokensPerMinute() + other.tokensPerMinute();
    boolean noSlots = slots == 0 && teamLimits.concurrentRequests() > 0;
    boolean noTokens = tokens == 0 && teamLimits.tokensPerMinute() > 0;
    return new Limits(
        one.requestsPerSecond() + other.requestsPerSecond(),
        noSlots ? LimitShares.NO_SHARE : slots,
        noTokens ? LimitShares.NO_SHARE : tokens);
  }
}
