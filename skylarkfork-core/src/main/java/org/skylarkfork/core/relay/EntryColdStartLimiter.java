package org.skylarkfork.core.relay;

import java.time.Instant;
import org.skylarkfork.core.routing.StableHash;

/**
 * Enforces an entry's own part of the request rate of cold upstreams.
 *
 * <p>All entries together may send {@code perSecond} requests per second, or the sixth of it that
 * schedulers leave. With few entries each has an equal whole number of requests. With more entries
 * than requests, a hash of both names assigns some entries to each upstream, on average half as
 * many as the limit allows, and each of these may send one request per second. With 55 entries and
 * 3 requests per second the average is 1.5; the probability that more than 12 entries are assigned
 * to one upstream is below one in a million.
 */
final class EntryColdStartLimiter implements ColdStartLimiter {

  /**
   * Average share of the limit that is used if entries are assigned by hash; the rest is a margin
   * for random variation.
   */
  private static final double SPREAD_SHARE = 0.5;

  private final RelayView view;
  private final String self;

  /**
   * Creates a limiter.
   *
   * @param view the entry's view of the deployment
   * @param self unique name of the entry
   */
  EntryColdStartLimiter(RelayView view, String self) {
    this.view = view;
    this.self = self;
  }

  @Override
  public boolean allows(RelayService service, TrackedUpstream upstream, Instant now) {
    if (!service.cold().isBounded() || !upstream.isCold(now)) {
      return true;
    }
    // Until the leader has reported the number of entries, each entry would assume to be the only
    // one.
    return view.settled() && upstream.recentSends(now) < maxSends(service, upstream);
  }

  private int maxSends(RelayService service, TrackedUpstream upstream) {
    double bound = service.cold().perSecond();
    if (service.engine() != null && !view.schedulers().isEmpty()) {
      bound *= 1 - SCHEDULER_SHARE;
    }
    int perEntry = (int) (bound / view.entries());
    if (perEntry > 0) {
      return perEntry;
    }
    return hash(upstream) * view.entries() < SPREAD_SHARE * bound ? 1 : 0;
  }

  /** Returns a hash of this entry and an upstream, from 0 to 1. */
  private double hash(TrackedUpstream upstream) {
    return (StableHash.of(self, upstream.instance().id()) >>> 11) * 0x1.0p-53;
  }

  /**
   * {@inheritDoc}
   *
   * <p>An entry sees too little of the load of warm upstreams to decide, so the result is always
   * false.
   */
  @Override
  public boolean exceedsColdRate(RelayService service, TrackedUpstream upstream, Instant now) {
    return false;
  }
}
