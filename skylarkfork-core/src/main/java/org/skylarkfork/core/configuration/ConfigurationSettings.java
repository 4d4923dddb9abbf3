package org.skylarkfork.core.configuration;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Durations and limits of the distribution of the configuration, the same on each daemon.
 *
 * @param lease how long a daemon may accept new work after the last contact with the leader of the
 *     control group
 * @param renewalInterval time between two lease renewals
 * @param sourceTimeout time without a lease extension after which the daemon switches to another
 *     source
 * @param driftPerMille maximum difference between the rates of two daemons' clocks, in thousandths
 * @param maxSubscribers maximum number of daemons that subscribe to one daemon
 * @param callTimeout how long an operator's call waits for the control group
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
   * Checks that the durations are consistent.
   *
   * @throws IllegalArgumentException if a lease could expire between two renewals or the drift is
   *     out of range
   */
  public ConfigurationSettings {
    if (sourceTimeout.compareTo(renewalInterval) <= 0) {
      throw new IllegalArgumentException("configuration: set sourceTimeout above renewalInterval");
    }
    if (sourceTimeout.multipliedBy(2).compareTo(lease) > 0) {
      throw new IllegalArgumentException(
          "configuration: set sourceTimeout to at most half of lease");
    }
    if (driftPerMille < 0 || driftPerMille >= THOUSAND / 2) {
      throw new IllegalArgumentException("configuration: set driftPerMille from 0 to 499");
    }
  }

  /**
   * Returns the default settings.
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

  /**
   * Returns a duration shortened by the maximum clock drift, since the clock of the lease's holder
   * may run slower than the granter's.
   */
  Duration shortenedByDrift(Duration time) {
    return time.multipliedBy(THOUSAND - driftPerMille).dividedBy(THOUSAND);
  }

  /**
   * Returns the time on this daemon's clock after which every lease granted by another daemon has
   * expired.
   */
  Duration maxLeaseDuration() {
    return lease.multipliedBy(THOUSAND + driftPerMille).dividedBy(THOUSAND);
  }
}
