package org.skylarkfork.core.configuration;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.skylarkfork.core.message.ConfigurationMessage.LeaseGrant;

/**
 * The lease that allows this daemon to accept new work until it expires.
 *
 * <p>The duration of a grant counts from the time at which this daemon sent its request, on its own
 * clock, since the granter can only have measured from a later moment. The duration is also
 * shortened by the maximum clock drift. The lease therefore ends on this daemon before the granter
 * considers it expired, however long the grant was in transit. A grant names the granter's revision
 * and takes effect only once that revision is applied on this daemon, so that a daemon that
 * receives no newer revisions can't keep serving on grants alone.
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

  /** Extends the lease to a later end; the leader extends its own lease this way. */
  void extendTo(Instant newEnd) {
    if (newEnd.isAfter(end)) {
      end = newEnd;
    }
  }

  /**
   * Applies a grant, at once or when its revision is applied; returns whether the lease was
   * extended.
   */
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

  /** Applies the grants that waited for a revision; returns whether the lease was extended. */
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

  /** Ends the lease, since the clock can't be trusted to have measured its duration. */
  void invalidate() {
    end = Instant.EPOCH;
    pending.clear();
  }
}
