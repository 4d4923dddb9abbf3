package org.skylarkfork.core.membership;

import java.time.Duration;

/**
 * Settings of the directory of upstreams.
 *
 * @param announceInterval minimum time between two announcements of an upstream
 * @param maxHeartbeatsPerSecond maximum rate of announcements to this daemon; with more upstreams
 *     it requests longer intervals
 * @param maxMissedHeartbeats number of announcements that an upstream may miss before it is
 *     considered lost
 * @param upstreamRetention time for which a lost or ended upstream is kept, so that late messages
 *     about it are ignored
 * @param disseminationInterval minimum time between two rounds of disseminating changes
 * @param maxRecordsPerSecond maximum rate at which changed records are sent, counted for each
 *     receiver
 * @param maxDirectFanout maximum number of daemons up to which the owner sends changes to each
 *     daemon directly; with more, selected daemons of the other zones forward them within their
 *     zone
 * @param antiEntropyInterval time between two comparisons of the table with that of a random daemon
 * @param subsetSize maximum number of upstreams of one pool that this daemon uses and whose load it
 *     subscribes to
 * @param loadReportInterval minimum time between two load reports of an upstream
 * @param maxLoadBytesPerSecond maximum rate of load reports to this daemon in bytes per second
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

  /** Default settings, suitable for small and large deployments. */
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
