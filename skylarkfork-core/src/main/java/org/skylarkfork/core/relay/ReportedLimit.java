package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * What an upstream said of its rate limit, and how long ago; the newest word counts.
 *
 * <p>Daemons' clocks differ, so a message tells an age. What it takes on its way makes a word seem
 * newer, by less than the next answer of a limited upstream takes to come.
 *
 * @param limit the limit, {@link RateLimit#NONE} if it named none
 * @param ageMillis time since that answer, in milliseconds
 */
public record ReportedLimit(RateLimit limit, long ageMillis) {

  /** Returns when the upstream said so, as of the present time. */
  Instant reportedAt(Instant now) {
    return now.minusMillis(ageMillis);
  }
}
