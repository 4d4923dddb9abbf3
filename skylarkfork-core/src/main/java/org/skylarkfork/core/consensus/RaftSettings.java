package org.skylarkfork.core.consensus;

/**
 * Settings of the replicated groups, the same on each daemon.
 *
 * @param timeouts timeouts of elections, leases and resends
 * @param limits limits of logs, snapshots and messages
 */
public record RaftSettings(RaftTimeouts timeouts, RaftLimits limits) {

  /** Returns settings for daemons with about one millisecond of network latency between them. */
  public static RaftSettings defaults() {
    return new RaftSettings(RaftTimeouts.DEFAULT, RaftLimits.DEFAULT);
  }
}
