package org.skylarkfork.core.configuration;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.message.ConfigurationMessage.LaggingEntry;
import org.skylarkfork.core.message.ConfigurationMessage.Renew;

/** What a daemon knows of one that takes configuration and leases from it. */
final class Subscriber {

  final String node;
  Instant sentAt = Instant.EPOCH;
  Instant receivedAt = Instant.EPOCH;
  long reportedRevision;
  long floor;
  List<LaggingEntry> lagging = List.of();
  int laggingCount;
  long pushedRevision;
  Instant pushedAt = Instant.EPOCH;
  private final Deque<Grant> grants = new ArrayDeque<>();

  Subscriber(String node) {
    this.node = node;
  }

  /** Leases granted until an end while the granter was at a revision. */
  private record Grant(long revision, Instant end) {}

  void updateFrom(Renew renew, Instant now) {
    sentAt = renew.sentAt();
    receivedAt = now;
    reportedRevision = renew.haveRevision();
    floor = renew.floor();
    lagging = renew.lagging();
    laggingCount = renew.laggingCount();
  }

  /** Notes a grant; ends never decrease, so one entry a revision is enough. */
  void recordGrant(long revision, Instant end) {
    Grant last = grants.peekLast();
    if (last != null && last.revision() == revision) {
      grants.removeLast();
    }
    grants.addLast(new Grant(revision, end));
  }

  /** Returns when the last grant ends, or the epoch if there is none. */
  Instant lastGrantEnd() {
    Grant last = grants.peekLast();
    return last == null ? Instant.EPOCH : last.end();
  }

  void removeEndedGrants(Instant now) {
    while (!grants.isEmpty() && !now.isBefore(grants.getFirst().end())) {
      grants.removeFirst();
    }
  }

  /**
   * Returns the oldest revision under which this daemon, or one with a lease from it, may serve by
   * grants given here; the greatest number if none may.
   */
  long oldestServedRevision(Instant now) {
    removeEndedGrants(now);
    return grants.isEmpty() ? Long.MAX_VALUE : Math.max(floor, grants.getFirst().revision());
  }

  /** Returns until when it may serve below a revision by grants given here, or null if it can't. */
  @Nullable Instant leaseEndBelow(long revision, Instant now) {
    if (oldestServedRevision(now) >= revision) {
      return null;
    }
    Instant end = null;
    for (Grant grant : grants) {
      if (grant.revision() < revision) {
        end = grant.end();
      }
    }
    return end;
  }
}
