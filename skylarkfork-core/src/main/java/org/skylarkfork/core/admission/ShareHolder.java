package org.skylarkfork.core.admission;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.message.LimitMessage.TeamDemand;
import org.skylarkfork.core.message.LimitMessage.TeamShare;

/** What the owner of a team's limits knows of one entry: its demand and what it may still use. */
final class ShareHolder {

  private record Promise(TeamShare share, Instant demandSentAt, Instant end) {}

  private final List<Promise> promises = new ArrayList<>();
  private @Nullable TeamDemand demand;
  private Instant sentAt = Instant.MIN;
  private Instant heardUntil = Instant.MIN;

  /** Takes a demand; returns false for one that is no newer than the last. */
  boolean hear(TeamDemand newest, Instant newestSentAt, Instant until) {
    if (!newestSentAt.isAfter(sentAt)) {
      return false;
    }
    demand = newest;
    sentAt = newestSentAt;
    heardUntil = until;
    promises.removeIf(promise -> promise.demandSentAt.isBefore(newest.using()));
    return true;
  }

  /** Returns the last demand, or null if it is too old. */
  @Nullable TeamDemand demand(Instant now) {
    return now.isBefore(heardUntil) ? demand : null;
  }

  void promise(TeamShare share, Instant end) {
    promises.add(new Promise(share, sentAt, end));
  }

  /** Returns the most that the entry may use of each amount under any lease not yet ended. */
  TeamShare held(String team, Instant now) {
    promises.removeIf(promise -> !now.isBefore(promise.end));
    double rate = 0;
    int slots = 0;
    long tokens = 0;
    for (Promise promise : promises) {
      rate = Math.max(rate, promise.share.requestsPerSecond());
      slots = Math.max(slots, promise.share.concurrentRequests());
      tokens = Math.max(tokens, promise.share.tokensPerMinute());
    }
    return new TeamShare(team, rate, slots, tokens);
  }

  /** Returns whether it neither asks for anything nor may use anything. */
  boolean isDone(Instant now) {
    promises.removeIf(promise -> !now.isBefore(promise.end));
    return promises.isEmpty() && demand(now) == null;
  }
}
