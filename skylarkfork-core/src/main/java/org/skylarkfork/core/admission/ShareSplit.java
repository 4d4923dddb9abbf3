package org.skylarkfork.core.admission;

import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.message.LimitMessage.TeamShare;

/** Splits a limit into a part that needs no lease and a part that the owner leases. */
record ShareSplit(double unleasedFraction) {

  /** Returns the share of each entry that needs no lease; 0 means nothing. */
  TeamShare unleased(String team, Limits whole, int entries) {
    return new TeamShare(
        team,
        whole.requestsPerSecond() * unleasedFraction / entries,
        (int) (whole.concurrentRequests() * unleasedFraction) / entries,
        (long) (whole.tokensPerMinute() * unleasedFraction) / entries);
  }

  /** Returns the total that the owner leases to all entries. */
  TeamShare pool(String team, Limits whole) {
    return new TeamShare(
        team,
        whole.requestsPerSecond() * (1 - unleasedFraction),
        whole.concurrentRequests() - (int) (whole.concurrentRequests() * unleasedFraction),
        whole.tokensPerMinute() - (long) (whole.tokensPerMinute() * unleasedFraction));
  }

  /**
   * Returns the sum of two shares as limits; a sum of 0 of a limited amount becomes {@link
   * LimitShares#NO_SHARE}.
   */
  static Limits combine(TeamShare one, TeamShare other, Limits whole) {
    int slots = one.concurrentRequests() + other.concurrentRequests();
    long tokens = one.tokensPerMinute() + other.tokensPerMinute();
    boolean noSlots = slots == 0 && whole.concurrentRequests() > 0;
    boolean noTokens = tokens == 0 && whole.tokensPerMinute() > 0;
    return new Limits(
        one.requestsPerSecond() + other.requestsPerSecond(),
        noSlots ? LimitShares.NO_SHARE : slots,
        noTokens ? LimitShares.NO_SHARE : tokens);
  }
}
