package org.skylarkfork.core.relay;

import java.time.Instant;
import org.skylarkfork.core.routing.StableHash;

/**
 * Assigns an entry its part of the rate of rate-limited upstreams.
 *
 * <p>If a limit of two requests per second were divided over a hundred entries, each could send
 * about one a minute, and after a pause all hundred could send at once. Therefore only as many
 * entries have a part as may send at once. A hash of the upstream's id determines the number of the
 * first of them; the others follow in order.
 */
final class EntryRateDivision implements RateDivision {

  private final RelayView view;

  EntryRateDivision(RelayView view) {
    this.view = view;
  }

  @Override
  public RateShare share(RelayService service, TrackedUpstream upstream, Instant now) {
    EntryOrdinal ordinal = view.entryOrdinal();
    // Until the leader has reported the number of entries, each entry would assume to be the only
    // one.
    if (!ordinal.isKnown()) {
      return RateShare.NONE;
    }
    RateLimit limit = upstream.rateLimit();
    double perSecond = RateDivision.perSecond(limit);
    double burst = RateDivision.burst(limit);
    if (RateDivision.isScheduled(service, view)) {
      perSecond *= 1 - ColdStartLimiter.SCHEDULER_SHARE;
      burst = RateDivision.maxDirectSenders(limit);
    }
    int holders = (int) Math.min(ordinal.of(), burst);
    int rank = Math.floorMod(ordinal.number() - firstHolder(upstream, ordinal.of()), ordinal.of());
    if (rank >= holders) {
      return RateShare.NONE;
    }
    double initialTokens = (double) rank / holders;
    return new RateShare(perSecond / holders, burst / holders, initialTokens, Instant.EPOCH);
  }

  /** Returns the number of the first entry that has a part of an upstream's rate. */
  private static int firstHolder(TrackedUpstream upstream, int entries) {
    return Math.floorMod(StableHash.of(upstream.instance().id()), entries);
  }
}
