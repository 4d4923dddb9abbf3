package org.skylarkfork.runtime.relay;

import java.time.Duration;
import org.skylarkfork.core.consensus.RaftSettings;
import org.skylarkfork.runtime.transport.TransportSettings;

/** Times and bounds between the relay's daemons, on VMs with less than half a core each. */
final class RelayPeerLimits {

  /** Connections can fall silent without a reset; one is given up after 1.5 s of silence. */
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

  /** A voter is replaced after this silence, well after a restart, which takes about a second. */
  static final Duration VOTER_REPLACEMENT_TIMEOUT = Duration.ofMillis(2500);

  /**
   * Entries after which a snapshot is taken. A restart decodes every entry behind it, each with a
   * whole configuration: 133 of them took 0.9 s on 0.45 of a core.
   */
  private static final int SNAPSHOT_ENTRIES = 12;

  /**
   * Longest wait of a restarted voter for a leader. No leader of the relay acts under a lease: each
   * read and each proof asks a majority. With the usual wait a crash of all control VMs took 0.5 s
   * longer.
   */
  private static final Duration RESTART_ELECTION_TIMEOUT = Duration.ofMillis(120);

  private RelayPeerLimits() {}

  /** Returns settings under which a slow start or a pause of collection deposes no leader. */
  static RaftSettings raft() {
    return new RaftSettings(
        Duration.ofMillis(350),
        Duration.ofMillis(700),
        Duration.ofMillis(120),
        Duration.ofMillis(300),
        Duration.ofSeconds(1),
        Duration.ofMillis(300),
        SNAPSHOT_ENTRIES,
        64,
        128,
        256 * 1024,
        256,
        64 * 1024,
        4096,
        16 * 1024 * 1024,
        4096,
        RESTART_ELECTION_TIMEOUT);
  }
}
