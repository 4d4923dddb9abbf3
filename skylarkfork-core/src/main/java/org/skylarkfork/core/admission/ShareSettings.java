package org.skylarkfork.core.admission;

import java.time.Duration;

/**
 * How shares of limits are leased.
 *
 * @param reserve part of each limit that entries have without a lease, all together; 0 to 1
 * @param lease how long a share holds after its demand was sent
 * @param drift greatest difference of two clocks' speeds, as a share
 * @param every time between two reports of demand
 * @param urgent shortest time between them while a team with demand has no lease
 * @param takeover how long a new owner waits before its first grant: longer than a lease and the
 *     time in which entries learn of each other's changes
 * @param memory how long an entry that is gone still counts
 */
public record ShareSettings(
    double reserve,
    Duration lease,
    double drift,
    Duration every,
    Duration urgent,
    Duration takeover,
    Duration memory) {

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
  Duration shortened(Duration granted) {
    return Duration.ofMillis((long) (granted.toMillis() * (1 - drift)));
  }

  /** Returns the lease as the owner counts it from the moment of the grant. */
  Duration longLease() {
    return Duration.ofMillis((long) Math.ceil(lease.toMillis() * (1 + drift)));
  }
}
