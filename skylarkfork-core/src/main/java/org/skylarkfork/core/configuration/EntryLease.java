package org.skylarkfork.core.configuration;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.skylarkfork.core.message.ConfigurationMessage.LeaseGrant;

/**
 * The right of this daemon to take new work, for a while.
 *
 * <p>A grant counts from the time at which this daemon sent its request, on its own clock, since
 * the granter can only have measured from a later moment; and it is cut by the drift that clocks
 * may have. So the lease ends here before the granter takes it for ended, however long the grant
 * was on its way. It names the granter's revision and holds only once that is applied here: a
 * daemon that is cut off from newer revisions can't go on by grants alone.
 */
final class EntryLease {

  private static final int MAX_PENDING = 8;

  private final ConfigurationSettings settings;
  private final Deque<LeaseGrant> pending = new ArrayDeque<>();
  private Instant end = Instant.EPOCH;

  EntryLease(ConfigurationSettings settings) {
    this.settings = settings;
  }

  boolean isValid(Instant now) {
    return now.isBefore(end);
  }

  Instant end() {
    return end;
  }

  /** Extends the lease of the leader itself. */
  void extendTo(Instant newEnd) {
    if (newEnd.isAfter(end)) {
      end = newEnd;
    }
  }

  /** Takes a grant, now or once its revision is applied; returns whether the lease got longer. */
  boolean grant(LeaseGrant grant, long revision) {
    if (grant.revision() > revision) {
      if (pending.size() >= MAX_PENDING) {
        pending.removeFirst();
      }
      pending.addLast(grant);
      return false;
    }
    Instant before = end;
    extendTo(grant.requestSentAt().plus(settings.shortenedByDrift(grant.remaining())));
    return end.isAfter(before);
  }

  /** Takes the grants that waited for a revision; returns whether the lease got longer. */
  boolean revisionApplied(long revision) {
    boolean extended = false;
    Iterator<LeaseGrant> waiting = pending.iterator();
    while (waiting.hasNext()) {
      LeaseGrant grant = waiting.next();
      if (grant.revision() <= revision) {
        waiting.remove();
        extended |= grant(grant, revision);
      }
    }
    return extended;
  }

  /** Ends the lease, since the clock can't be trusted to have measured it. */
  void invalidate() {
    end = Instant.EPOCH;
    pending.clear();
  }
}
