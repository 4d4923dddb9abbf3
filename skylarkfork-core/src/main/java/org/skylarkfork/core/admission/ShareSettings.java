package org.skylarkfork.core.admission;

import java.time.Duration;

/**
 * Settings for the leases of limit shares.
 *
 * @param unleasedFraction fraction of each limit that all entries together have without a lease, 0
 *     to 1
 * @param lease how long a share is valid after its demand was sent
 * @param maxClockDrift maximum relative difference between the rates of two clocks
 * @param reportInterval time between two reports of demand
 * @param urgentReportInterval minimum time between two reports while a team with demand has no
 *     lease
 * @param takeoverDelay how long a new owner waits before its first grant: longer than a lease plus
 *     the time in which entries detect membership changes
 * @param entryRetention how long an entry that is no longer live still counts as known
 */
public record ShareSettings(
    double unleasedFraction,
    Duration lease,
    double maxClockDrift,
    Duration reportInterval,
    Duration urgentReportInterval,
    Duration takeoverDelay,
    Duration entryRetention) {

  /** The settings of daemons. */
  public static final ShareSettings DEFAULT =
      new ShareSettings(
          0.1,
          Duration.ofSeconds(4),
          0.01,
          Duration.ofSeconds(1),
          Duration.ofMillis(250),
          Duration.ofSeconds(7),
          Duration.ofSeconds(60));

  /** Returns a lease's duration as counted by its holder, whose clock may be the slower one. */
  Duration holderLease(Duration granted) {
    return Duration.ofMillis((long) (granted.toMillis() * (1 - maxClockDrift)));
  }

  /** Returns a lease's duration as counted by the owner from the moment of the grant. */
  Duration ownerLease() {
    return Duration.ofMillis((long) Math.ceil(lease.toMillis() * (1 + maxClockDrift)));
  }
}
