package org.skylarkfork.core.configuration;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Times and bounds of the configuration, the same on each daemon.
 *
 * @param lease how long a daemon may take new work without news of the control group's leader
 * @param renewalInterval time between two renewals
 * @param sourceTimeout time without an extension after which another source is tried
 * @param driftPerMille how much faster or slower one daemon's clock may run than another's, in
 *     thousandths
 * @param maxSubscribers most daemons that one daemon serves
 * @param callTimeout how long an operator's call may wait for the control group
 * @param bootstrapKeyHash SHA-256 in lower-case hex of the operator key that is valid while the
 *     configuration has no operator key, or null for none
 */
public record ConfigurationSettings(
    Duration lease,
    Duration renewalInterval,
    Duration sourceTimeout,
    int driftPerMille,
    int maxSubscribers,
    Duration callTimeout,
    @Nullable String bootstrapKeyHash) {

  private static final int THOUSAND = 1000;

  /**
   * Checks the times against each other.
   *
   * @throws IllegalArgumentException if a lease would run out between two renewals
   */
  public ConfigurationSettings {
    if (sourceTimeout.compareTo(renewalInterval) <= 0) {
      throw new IllegalArgumentException("configuration: set patience above renewal");
    }
    if (sourceTimeout.multipliedBy(2).compareTo(lease) > 0) {
      throw new IllegalArgumentException("configuration: set patience to at most half of lease");
    }
    if (driftPerMille < 0 || driftPerMille >= THOUSAND / 2) {
      throw new IllegalArgumentException("configuration: set driftPerMille from 0 to 499");
    }
  }

  /**
   * Returns the usual settings.
   *
   * @param bootstrapKeyHash hash of the first operator key, or null for none
   */
  public static ConfigurationSettings defaults(@Nullable String bootstrapKeyHash) {
    return new ConfigurationSettings(
        Duration.ofSeconds(5),
        Duration.ofMillis(1500),
        Duration.ofMillis(2200),
        10,
        64,
        Duration.ofSeconds(8),
        bootstrapKeyHash);
  }

  /** Returns a time as a holder counts it, whose clock may be the slower one. */
  Duration shortenedByDrift(Duration time) {
    return time.multipliedBy(THOUSAND - driftPerMille).dividedBy(THOUSAND);
  }

  /** Returns the time after which each lease granted by others has run out on this clock. */
  Duration maxLeaseDuration() {
    return lease.multipliedBy(THOUSAND + driftPerMille).dividedBy(THOUSAND);
  }
}
