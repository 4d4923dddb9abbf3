package org.skylarkfork.core.configuration;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.message.ConfigurationMessage.LaggingEntry;
import org.skylarkfork.core.message.ConfigurationMessage.Renew;

/** The state that a daemon keeps about a daemon that receives configuration and leases from it. */
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

  /** Leases granted while the granter was at a revision, with the end of the last of them. */
  private record Grant(long revision, Instant end) {}

  void updateFrom(Renew renew, Instant now) {
    sentAt = renew.sentAt();
    receivedAt = now;
    reportedRevision = renew.haveRevision();
    floor = renew.floor();
    lagging = renew.lagging();
    laggingCount = renew.laggingCount();
  }

  /** Records a grant. The ends never decrease, so one entry per revision is enough. */
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
   * Returns the oldest revision under which the subscriber, or a daemon with a lease from it, may
   * serve under the recorded grants; {@link Long#MAX_VALUE} if no grant is valid.
   */
  long oldestServedRevision(Instant now) {
    removeEndedGrants(now);
    return grants.isEmpty() ? Long.MAX_VALUE : Math.max(floor, grants.getFirst().revision());
  }

  /**
   * Returns until when the subscriber may serve below a revision under the recorded grants, or null
   * if it may not.
   */
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
