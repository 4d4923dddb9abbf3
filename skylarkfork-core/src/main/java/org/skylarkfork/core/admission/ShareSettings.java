package org.skylarkfork.core.admission;

import java.time.Duration;

/**
 * How shares of limits are leased.
 *
 * @param unleasedFraction part of each limit that entries have without a lease, all together; 0 to
 *     1
 * @param lease how long a share holds after its demand was sent
 * @param maxClockDrift greatest difference of two clocks' speeds, as a share
 * @param reportInterval time between two reports of demand
 * @param urgentReportInterval shortest time between them while a team with demand has no lease
 * @param takeoverDelay how long a new owner waits before its first grant: longer than a lease and
 *     the time in which entries learn of each other's changes
 * @param entryRetention how long an entry that is gone still counts
 */
public record ShareSettings(
    double unleasedFraction,
    Duration lease,
    double maxClockDrift,
    Duration reportInterval,
    Duration urgentReportInterval,
    Duration takeoverDelay,
    Duration entryRetention) {

  /** What daemons use. */
  public static final ShareSettings DEFAULT =
      new ShareSettings(
          0.1,
          Duration.ofSeconds(4),
          0.01,
          Duration.ofSeconds(1),
          Duration.ofMillis(250),
          Duration.ofSeconds(7),
          Duration.ofSeconds(60));

  /** Returns a lease as its holder counts it, whose clock may be the slower one. */
  Duration holderLease(Duration granted) {
    return Duration.ofMillis((long) (granted.toMillis() * (1 - maxClockDrift)));
  }

  /** Returns the lease as the owner counts it from the moment of the grant. */
  Duration ownerLease() {
    return Duration.ofMillis((long) Math.ceil(lease.toMillis() * (1 + maxClockDrift)));
  }
}
