package org.skylarkfork.core.relay;

import java.time.Duration;

/**
 * Intervals and timeouts of the relay's daemons.
 *
 * @param tickInterval interval between ticks of the runtime
 * @param pollInterval interval between an entry's polls of the leader
 * @param backgroundPollInterval interval between an entry's polls of each other control VM, which
 *     uses them only to detect that the entry is alive
 * @param leaseDuration time for which an entry accepts requests with a key after its configuration
 *     was proven to be the newest; shorter than the time within which a removed key must be
 *     rejected
 * @param entryTimeout time without a poll after which an entry is no longer listed to callers
 * @param upstreamTimeout time without a heartbeat after which an upstream is used only if no other
 *     is available
 * @param upstreamExpiry time without a heartbeat after which an upstream is removed from the
 *     directory
 * @param settlingTime time after which a new leader considers its directory complete; longer than
 *     the heartbeat interval
 */
public record RelayTimings(
    Duration tickInterval,
    Duration pollInterval,
    Duration backgroundPollInterval,
    Duration leaseDuration,
    Duration entryTimeout,
    Duration upstreamTimeout,
    Duration upstreamExpiry,
    Duration settlingTime) {

  /** Tick interval of control VMs, which send changes to entries on the next tick. */
  private static final Duration VOTER_TICK = Duration.ofMillis(25);

  /**
   * Tick interval of daemons that are only entries. Each tick wakes the process and uses a third of
   * a millisecond of CPU time; the shortest wait of an entry is 75 ms.
   */
  private static final Duration ENTRY_TICK = Duration.ofMillis(50);

  private static final double LEASE_SHARE = 0.94;
  private static final int SILENT_HEARTBEATS = 3;
  private static final int SETTLING_HEARTBEATS = 4;

  /**
   * Derives the timings from the bounds that the deployment guarantees.
   *
   * @param keyBound maximum time from the acceptance of a change until a key that it removes is
   *     rejected everywhere; the lease uses 94 in 100 of it, the rest covers clock drift and the
   *     transmission to an upstream
   * @param heartbeat interval between heartbeats of an upstream
   */
  public static RelayTimings of(Duration keyBound, Duration heartbeat) {
    return new RelayTimings(
        VOTER_TICK,
        Duration.ofMillis(500),
        Duration.ofMillis(1000),
        Duration.ofMillis((long) (keyBound.toMillis() * LEASE_SHARE)),
        Duration.ofMillis(2600),
        heartbeat.multipliedBy(SILENT_HEARTBEATS).plusMillis(400),
        Duration.ofSeconds(60),
        heartbeat.multipliedBy(SETTLING_HEARTBEATS));
  }

  /** Returns the timings of a daemon that is an entry but not a control VM. */
  public RelayTimings forEntry() {
    return new RelayTimings(
        ENTRY_TICK,
        pollInterval,
        backgroundPollInterval,
        leaseDuration,
        entryTimeout,
        upstreamTimeout,
        upstreamExpiry,
        settlingTime);
  }
}
