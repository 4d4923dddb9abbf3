package org.skylarkfork.runtime.relay;

import java.time.Duration;
import org.skylarkfork.core.consensus.RaftLimits;
import org.skylarkfork.core.consensus.RaftSettings;
import org.skylarkfork.core.consensus.RaftTimeouts;
import org.skylarkfork.runtime.transport.TransportSettings;

/**
 * Timeouts and size limits between the relay's daemons, for VMs with less than half a core each.
 */
final class RelayPeerLimits {

  /**
   * Connections can stop working without a reset, so a connection is closed after 1.5 s without
   * data.
   */
  static final TransportSettings.Limits LIMITS =
      new TransportSettings.Limits(
          8 << 20,
          8 << 20,
          Duration.ofMillis(700),
          Duration.ofMillis(500),
          Duration.ofMillis(1500),
          Duration.ofSeconds(60),
          Duration.ofMillis(50),
          Duration.ofMillis(150));

  /**
   * Time without contact after which a voter is replaced, well above the duration of a restart,
   * which is about a second.
   */
  static final Duration VOTER_REPLACEMENT_TIMEOUT = Duration.ofMillis(2500);

  /**
   * Log entries between two snapshots. A restart decodes every entry after the last snapshot, each
   * with a whole configuration: 133 of them took 0.9 s on 0.45 of a core.
   */
  private static final int SNAPSHOT_ENTRIES = 12;

  /**
   * Size of the commands between two snapshots, in bytes; in the heap they take three times that.
   */
  private static final long SNAPSHOT_BYTES = 2 * 1024 * 1024;

  private static final int TRAILING_ENTRIES = 64;

  /**
   * Size of the commands that stay in memory before a snapshot, in bytes. A replica that lags
   * further behind receives the snapshot, which is as large as one configuration.
   */
  private static final long TRAILING_BYTES = 1024 * 1024;

  private static final int MAX_APPEND_ENTRIES = 128;
  private static final int MAX_APPEND_BYTES = 256 * 1024;
  private static final int MAX_IN_FLIGHT_ENTRIES = 256;
  private static final long MAX_IN_FLIGHT_BYTES = 2 * 1024 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;
  private static final int MAX_UNCOMMITTED_ENTRIES = 4096;
  private static final int MAX_UNCOMMITTED_BYTES = 4 * 1024 * 1024;
  private static final int MAX_PENDING_SUBMISSIONS = 4096;

  /**
   * Longest time that a restarted voter waits for a leader. A short wait is safe because no leader
   * of the relay relies on a lease: each read and each proof of leadership queries a majority. With
   * the default wait, recovery from a crash of all control VMs took 0.5 s longer.
   */
  private static final Duration RESTART_ELECTION_TIMEOUT = Duration.ofMillis(120);

  /** Election timeouts are drawn at random between 350 ms and this. */
  private static final Duration ELECTION_MAX = Duration.ofMillis(700);

  /**
   * Time without an answer from a majority after which a leader steps down. The others campaign
   * within the longest election timeout if they hear nothing, so an earlier step down only costs an
   * election: with 300 ms, leaders on a fifth of a core were replaced each second.
   */
  private static final Duration MAJORITY_TIMEOUT = ELECTION_MAX;

  private RelayPeerLimits() {}

  /**
   * Returns settings under which a slow start or a garbage collection pause doesn't depose a
   * leader.
   */
  static RaftSettings raft() {
    RaftTimeouts timeouts =
        new RaftTimeouts(
            Duration.ofMillis(350),
            ELECTION_MAX,
            Duration.ofMillis(120),
            Duration.ofMillis(300),
            MAJORITY_TIMEOUT,
            Duration.ofSeconds(1),
            Duration.ofMillis(300),
            RESTART_ELECTION_TIMEOUT);
    RaftLimits limits =
        new RaftLimits(
            SNAPSHOT_ENTRIES,
            SNAPSHOT_BYTES,
            TRAILING_ENTRIES,
            TRAILING_BYTES,
            MAX_APPEND_ENTRIES,
            MAX_APPEND_BYTES,
            MAX_IN_FLIGHT_ENTRIES,
            MAX_IN_FLIGHT_BYTES,
            MAX_CHUNK_BYTES,
            MAX_UNCOMMITTED_ENTRIES,
            MAX_UNCOMMITTED_BYTES,
            MAX_PENDING_SUBMISSIONS);
    return new RaftSettings(timeouts, limits);
  }
}
