package org.skylarkfork.core.membership;

import java.time.Duration;

/**
 * How the directory of upstreams works.
 *
 * @param announceEvery shortest time between two announcements of an upstream
 * @param heartbeatsPerSecond announcements a second that this daemon wants at most; with more
 *     upstreams they are told to announce less often
 * @param missedHeartbeats announcements that an upstream may miss before it is lost
 * @param forgetAfter how long a lost or ended upstream is remembered against late messages
 * @param spreadEvery time between two rounds of passing on changes
 * @param spreadsPerSecond records a second, counted for each receiver, that changes may cost
 * @param directFanout up to so many daemons each gets changes from the owner itself; above it
 *     daemons of the other zones pass them on in their zone
 * @param digestEvery time between two comparisons with a random daemon
 * @param subset most upstreams of one pool that this daemon uses and whose load it follows
 * @param loadEvery shortest time between two load reports of an upstream
 * @param loadBytesPerSecond bytes a second that load reports to this daemon may take
 */
public record DirectorySettings(
    Duration announceEvery,
    int heartbeatsPerSecond,
    int missedHeartbeats,
    Duration forgetAfter,
    Duration spreadEvery,
    int spreadsPerSecond,
    int directFanout,
    Duration digestEvery,
    int subset,
    Duration loadEvery,
    int loadBytesPerSecond) {

  /** Settings that fit both today's and the largest planned size. */
  public static final DirectorySettings DEFAULT =
      new DirectorySettings(
          Duration.ofSeconds(1),
          20,
          3,
          Duration.ofMinutes(10),
          Duration.ofMillis(100),
          500,
          32,
          Duration.ofSeconds(2),
          20,
          Duration.ofMillis(250),
          3000);
}
