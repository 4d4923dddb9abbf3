package org.skylarkfork.core.admission;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.message.LimitMessage.TeamDemand;
import org.skylarkfork.core.message.LimitMessage.TeamShare;

/** The demand and the leases of one entry, as the owner of a team's limits records them. */
final class LeaseHolder {

  private record Lease(TeamShare share, Instant demandSentAt, Instant endsAt) {}

  private final List<Lease> leases = new ArrayList<>();
  private @Nullable TeamDemand demand;
  private Instant sentAt = Instant.MIN;
  private Instant demandExpiresAt = Instant.MIN;

  /** Records a demand; returns false if it is no newer than the last one. */
  boolean recordDemand(TeamDemand newDemand, Instant newSentAt, Instant expiresAt) {
    if (!newSentAt.isAfter(sentAt)) {
      return false;
    }
    demand = newDemand;
    sentAt = newSentAt;
    demandExpiresAt = expiresAt;
    leases.removeIf(lease -> lease.demandSentAt.isBefore(newDemand.using()));
    return true;
  }

  /** Returns the last demand, or null if it has expired. */
  @Nullable TeamDemand demand(Instant now) {
    return now.isBefore(demandExpiresAt) ? demand : null;
  }

  void addLease(TeamShare share, Instant endsAt) {
    leases.add(new Lease(share, sentAt, endsAt));
  }

  /** Returns the maximum of each amount over the leases that have not ended. */
  TeamShare leased(String team, Instant now) {
    leases.removeIf(lease -> !now.isBefore(lease.endsAt));
    double rate = 0;
    int slots = 0;
    long tokens = 0;
    for (Lease lease : leases) {
      rate = Math.max(rate, lease.share.requestsPerSecond());
      slots = Math.max(slots, lease.share.concurrentRequests());
      tokens = Math.max(tokens, lease.share.tokensPerMinute());
    }
    return new TeamShare(team, rate, slots, tokens);
  }

  /** Returns whether the entry has neither a current demand nor a lease. */
  boolean isIdle(Instant now) {
    leases.removeIf(lease -> !now.isBefore(lease.endsAt));
    return leases.isEmpty() && demand(now) == null;
  }
}
