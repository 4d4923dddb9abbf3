package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * A daemon's part of what a limited upstream takes.
 *
 * @param perSecond requests a second in the long run; 0 for none
 * @param burst requests at once after a pause, at least 1
 * @param initialTokens what its bucket holds as the limit becomes known, from 0 to 1 request;
 *     differs between daemons, so that not all send their first one at the same moment
 * @param since when the part became this daemon's; what it sent earlier was another part's
 */
record RateShare(double perSecond, double burst, double initialTokens, Instant since) {

  /** A daemon that sends nothing to the upstream. */
  static final RateShare NONE = new RateShare(0, 1, 0, Instant.EPOCH);

  boolean isNone() {
    return perSecond <= 0;
  }
}
