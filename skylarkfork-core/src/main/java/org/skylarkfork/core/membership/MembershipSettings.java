package org.skylarkfork.core.membership;

import java.time.Duration;

/**
 * Settings of the SWIM failure detector and of gossip.
 *
 * @param probeInterval time between two probes, independent of the number of members
 * @param probeTimeout time to wait for an answer before indirect probes are sent
 * @param probeDeadline time to wait for a direct or indirect answer before the target is suspected
 * @param indirectProbes number of daemons that receive a request for an indirect probe
 * @param suspicionMin minimum time to refute a suspicion, once enough daemons have confirmed it
 * @param suspicionMax maximum time to refute a suspicion, raised by a single daemon
 * @param confirmations number of daemons besides the first that must confirm a suspicion for the
 *     minimum time
 * @param gossipInterval time between two gossip rounds
 * @param gossipFanout number of daemons that receive updates in a gossip round
 * @param updatesPerMessage maximum number of updates in one message
 * @param syncInterval time between two comparisons of the full member table with that of one daemon
 * @param joinInterval time between two attempts to reach seeds and daemons considered dead
 * @param memberRetention time for which a daemon that died or left is kept in the table
 */
public record MembershipSettings(
    Duration probeInterval,
    Duration probeTimeout,
    Duration probeDeadline,
    int indirectProbes,
    Duration suspicionMin,
    Duration suspicionMax,
    int confirmations,
    Duration gossipInterval,
    int gossipFanout,
    int updatesPerMessage,
    Duration syncInterval,
    Duration joinInterval,
    Duration memberRetention) {

  /** Default settings, suitable for small and large deployments. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(
          Duration.ofMillis(500),
          Duration.ofMillis(300),
          Duration.ofMillis(1000),
          3,
          Duration.ofMillis(2000),
          Duration.ofMillis(8000),
          3,
          Duration.ofMillis(100),
          2,
          8,
          Duration.ofSeconds(15),
          Duration.ofSeconds(2),
          Duration.ofMinutes(10));
}
