package org.skylarkfork.core.membership;

import java.time.Duration;

/**
 * How daemons watch each other.
 *
 * @param probeInterval time between two probes, whatever the number of members
 * @param probeTimeout time for an answer before others are asked to probe
 * @param probeDeadline time for an answer, direct or through others, before the suspicion
 * @param indirectProbes how many others are asked to probe
 * @param suspicionMin time to refute once enough daemons share the suspicion
 * @param suspicionMax time to refute a suspicion of one daemon alone
 * @param confirmations daemons besides the first that must share it for the shortest time
 * @param gossipInterval time between two rounds of passing on updates
 * @param gossipFanout daemons told in a round
 * @param updatesPerMessage most updates in one message
 * @param syncInterval time between two comparisons of all members with one daemon
 * @param joinInterval time between two tries to reach seeds and daemons held dead
 * @param memberRetention how long a daemon that died or left is remembered
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

  /** Settings that fit both today's and the largest planned size. */
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
