package org.skylarkfork.core.relay;

import java.time.Duration;

/**
 * Times that the relay's daemons keep.
 *
 * @param tick time between two ticks of the runtime
 * @param poll time between two polls of an entry to the leader
 * @param backgroundPoll time between two polls to each other control VM, which only learns from
 *     them that the entry lives
 * @param lease time for which an entry takes keyed requests after a proof that its configuration is
 *     the newest; shorter than the time in which a removed key must be dead
 * @param entrySilence time without a poll after which callers aren't sent to an entry
 * @param upstreamSilence time without a heartbeat after which an upstream is used last
 * @param upstreamForgotten time without a heartbeat after which an upstream is forgotten
 * @param settling time that a new leader waits until its directory counts as whole; longer than the
 *     time between two heartbeats
 */
public record RelayTimings(
    Duration tick,
    Duration poll,
    Duration backgroundPoll,
    Duration lease,
    Duration entrySilence,
    Duration upstreamSilence,
    Duration upstreamForgotten,
    Duration settling) {

  /** Ticks of control VMs: a change is told to entries with the next one. */
  private static final Duration VOTER_TICK = Duration.ofMillis(25);

  /**
   * Ticks of daemons that are entries alone. Each wakes the process, which takes a third of a
   * millisecond of its processor; what entries wait for lasts 75 ms and more.
   */
  private static final Duration ENTRY_TICK = Duration.ofMillis(50);

  private static final double LEASE_SHARE = 0.94;
  private static final int SILENT_HEARTBEATS = 3;
  private static final int SETTLING_HEARTBEATS = 4;

  /**
   * Derives the times from what was promised.
   *
   * @param keyBound time from the acceptance of a change until a key that it removes is dead; the
   *     lease takes 94 in 100 of it, the rest is for the drift of clocks and the way to an upstream
   * @param heartbeat time between two heartbeats of an upstream
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

  /** Returns the times of a daemon that is an entry and no control VM. */
  public RelayTimings ofEntry() {
    return new RelayTimings(
        ENTRY_TICK,
        poll,
        backgroundPoll,
        lease,
        entrySilence,
        upstreamSilence,
        upstreamForgotten,
        settling);
  }
}
