package org.skylarkfork.core.admission;

import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.message.LimitMessage.TeamShare;

/** Splits a limit into what entries have without a lease and what the owner leases. */
record ShareSplit(double unleasedFraction) {

  /** Returns what one of some entries has without a lease; 0 means nothing. */
  TeamShare unleased(String team, Limits teamLimits, int entries) {
    return new TeamShare(
        team,
        teamLimits.requestsPerSecond() * unleasedFraction / entries,
        (int) (teamLimits.concurrentRequests() * unleasedFraction) / entries,
        (long) (teamLimits.tokensPerMinute() * unleasedFraction) / entries);
  }

  /** Returns what the owner leases to all entries together. */
  TeamShare pool(String team, Limits teamLimits) {
    return new TeamShare(
        team,
        teamLimits.requestsPerSecond() * (1 - unleasedFraction),
        teamLimits.concurrentRequests()
            - (int) (teamLimits.concurrentRequests() * unleasedFraction),
        teamLimits.tokensPerMinute() - (long) (teamLimits.tokensPerMinute() * unleasedFraction));
  }

  /** Returns two shares together as limits; where the whole is limited, 0 becomes nothing. */
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
