package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * The rate limit that an upstream reported, and the age of the report; the newest report counts.
 *
 * <p>Daemons' clocks differ, so messages carry an age in place of a time. The transit time of a
 * message makes a report seem newer, but by less than a limited upstream takes to give its next
 * answer.
 *
 * @param limit the limit; {@link RateLimit#NONE} if the upstream reported none
 * @param ageMillis time since that answer, in milliseconds
 */
public record ReportedLimit(RateLimit limit, long ageMillis) {

  /** Returns when the upstream reported the limit, computed from the present time and the age. */
  Instant reportedAt(Instant now) {
    return now.minusMillis(ageMillis);
  }
}
