package org.skylarkfork.core.membership;

import java.time.Duration;

/**
 * How the directory of upstreams works.
 *
 * @param announceInterval shortest time between two announcements of an upstream
 * @param maxHeartbeatsPerSecond announcements a second that this daemon wants at most; with more
 *     upstreams they are told to announce less often
 * @param maxMissedHeartbeats announcements that an upstream may miss before it is lost
 * @param upstreamRetention how long a lost or ended upstream is remembered against late messages
 * @param disseminationInterval time between two rounds of passing on changes
 * @param maxRecordsPerSecond records a second, counted for each receiver, that changes may cost
 * @param maxDirectFanout up to so many daemons each gets changes from the owner itself; above it
 *     daemons of the other zones pass them on in their zone
 * @param antiEntropyInterval time between two comparisons with a random daemon
 * @param subsetSize most upstreams of one pool that this daemon uses and whose load it follows
 * @param loadReportInterval shortest time between two load reports of an upstream
 * @param maxLoadBytesPerSecond bytes a second that load reports to this daemon may take
 */
public record DirectorySettings(
    Duration announceInterval,
    int maxHeartbeatsPerSecond,
    int maxMissedHeartbeats,
    Duration upstreamRetention,
    Duration disseminationInterval,
    int maxRecordsPerSecond,
    int maxDirectFanout,
    Duration antiEntropyInterval,
    int subsetSize,
    Duration loadReportInterval,
    int maxLoadBytesPerSecond) {

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
