package org.skylarkfork.core.relay;

import java.time.Instant;
import org.skylarkfork.core.routing.StableHash;

/**
 * An entry's part of what limited upstreams take.
 *
 * <p>Divided over all entries, a limit of two requests a second would be one in a minute for each
 * of a hundred, and a hundred at once after a pause. So only as many entries have a part as may
 * send at once. A hash of the upstream's id gives the number of the first of them; the next numbers
 * follow.
 */
final class EntryRateDivision implements RateDivision {

  private final RelayView view;

  EntryRateDivision(RelayView view) {
    this.view = view;
  }

  @Override
  public RateShare share(RelayService service, TrackedUpstream track, Instant now) {
    EntryOrdinal place = view.place();
    // Before the leader has told how many entries there are, each would think that it is alone.
    if (!place.isKnown()) {
      return RateShare.NONE;
    }
    RateLimit limit = track.rateLimit();
    double perSecond = RateDivision.perSecond(limit);
    double burst = RateDivision.burst(limit);
    if (RateDivision.isScheduled(service, view)) {
      perSecond *= 1 - ColdStartLimiter.SCHEDULER_SHARE;
      burst = RateDivision.maxDirectSenders(limit);
    }
    int holders = (int) Math.min(place.of(), burst);
    int rank = Math.floorMod(place.number() - first(track, place.of()), place.of());
    if (rank >= holders) {
      return RateShare.NONE;
    }
    double staggered = (double) rank / holders;
    return new RateShare(perSecond / holders, burst / holders, staggered, Instant.EPOCH);
  }

  /** Returns the number of the first entry that has a part at an upstream. */
  private static int first(TrackedUpstream track, int entries) {
    return Math.floorMod(StableHash.of(track.instance().id()), entries);
  }
}
