package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * A daemon's part of the rate limit of an upstream.
 *
 * @param perSecond requests per second in the long run; 0 for none
 * @param burst requests at once after a pause, at least 1
 * @param initialTokens fill of the token bucket when the limit becomes known, from 0 to 1 request;
 *     differs between daemons, so that they don't all send their first request at the same moment
 * @param since when the part was assigned to this daemon; earlier sends counted towards another
 *     part
 */
record RateShare(double perSecond, double burst, double initialTokens, Instant since) {

  /** The part of a daemon that sends nothing to the upstream. */
  static final RateShare NONE = new RateShare(0, 1, 0, Instant.EPOCH);

  boolean isNone() {
    return perSecond <= 0;
  }
}
