package org.skylarkfork.core.admission;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.message.LimitMessage.TeamDemand;
import org.skylarkfork.core.message.LimitMessage.TeamShare;

/** What the owner of a team's limits knows of one entry: its demand and what it may still use. */
final class LeaseHolder {

  private record Lease(TeamShare share, Instant demandSentAt, Instant end) {}

  private final List<Lease> leases = new ArrayList<>();
  private @Nullable TeamDemand demand;
  private Instant sentAt = Instant.MIN;
  private Instant demandExpiresAt = Instant.MIN;

  /** Takes a demand; returns false for one that is no newer than the last. */
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

  /** Returns the last demand, or null if it is too old. */
  @Nullable TeamDemand demand(Instant now) {
    return now.isBefore(demandExpiresAt) ? demand : null;
  }

  void addLease(TeamShare share, Instant endsAt) {
    leases.add(new Lease(share, sentAt, endsAt));
  }

  /** Returns the most that the entry may use of each amount under any lease not yet ended. */
  TeamShare leased(String team, Instant now) {
    leases.removeIf(lease -> !now.isBefore(lease.end));
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

  /** Returns whether it neither asks for anything nor may use anything. */
  boolean isIdle(Instant now) {
    leases.removeIf(lease -> !now.isBefore(lease.end));
    return leases.isEmpty() && demand(now) == null;
  }
}
