package org.skylarkfork.core.relay;

import java.time.Instant;
import org.skylarkfork.core.overload.RejectionLimits;
import org.skylarkfork.core.routing.StableHash;

/**
 * Decides whether an upstream that tolerates few rejections can hold one more request.
 *
 * <p>Entries learn of each other's requests with a delay that is longer than a call, so all may
 * send for the same free slot and most be rejected. Unless there is a free slot for each entry, the
 * slots are therefore divided among the entries; the parts add up to the slots and a quarter of the
 * rejections that the upstream tolerates.
 */
final class BrittleUpstreamRooms {

  /** Part of the borne rejections for which requests are sent beyond the slots. */
  private static final int EXTRA_DIVISOR = 4;

  private final UpstreamSource upstreams;

  BrittleUpstreamRooms(UpstreamSource upstreams) {
    this.upstreams = upstreams;
  }

  /** Returns whether the upstream may receive one more request; true if it states no limit. */
  boolean hasRoom(TrackedUpstream upstream, Instant now) {
    UpstreamInstance instance = upstream.instance();
    int limit = upstreams.rejectionLimits().perSecond(instance.service(), now);
    boolean isUndivided =
        limit == RejectionLimits.NONE
            || instance.slots() <= 0
            || upstream.running(now) + upstreams.entryOrdinal().of() <= instance.slots();
    return isUndivided || upstream.ownRunning() < part(instance, limit);
  }

  private int part(UpstreamInstance instance, int limit) {
    EntryOrdinal ordinal = upstreams.entryOrdinal();
    if (!ordinal.isKnown()) {
      return 1;
    }
    int total = instance.slots() + limit / EXTRA_DIVISOR;
    int entries = ordinal.of();
    int first = Math.floorMod(StableHash.of(instance.id()), entries);
    boolean hasRemainder = Math.floorMod(ordinal.number() - first, entries) < total % entries;
    return total / entries + (hasRemainder ? 1 : 0);
  }
}
