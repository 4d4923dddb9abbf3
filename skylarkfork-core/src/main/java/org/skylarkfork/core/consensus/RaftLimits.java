package org.skylarkfork.core.consensus;

/**
 * Limits of the replicated groups, the same on each daemon.
 *
 * @param snapshotEntries number of applied entries after which a snapshot is taken
 * @param trailingEntries number of entries before a snapshot that stay in memory for replicas that
 *     lag slightly
 * @param maxAppendEntries maximum number of entries in one message
 * @param maxAppendBytes maximum size of the commands in one message in bytes, unless a single
 *     command is larger
 * @param maxInFlightEntries maximum number of entries sent to a replica and not yet acknowledged
 * @param maxChunkBytes maximum size of a snapshot chunk in one message in bytes
 * @param maxUncommittedEntries maximum number of uncommitted entries; submissions beyond it are
 *     refused
 * @param maxUncommittedBytes maximum size of uncommitted commands in bytes
 * @param maxPendingSubmissions maximum number of this daemon's submissions that wait for a result
 */
public record RaftLimits(
    int snapshotEntries,
    int trailingEntries,
    int maxAppendEntries,
    int maxAppendBytes,
    int maxInFlightEntries,
    int maxChunkBytes,
    int maxUncommittedEntries,
    int maxUncommittedBytes,
    int maxPendingSubmissions) {

  /** Default limits. */
  public static final RaftLimits DEFAULT =
      new RaftLimits(4096, 512, 256, 256 * 1024, 1024, 64 * 1024, 8192, 16 * 1024 * 1024, 16384);

  /** Returns the same limits, except for the entries between snapshots and those kept in memory. */
  public RaftLimits withSnapshots(int entries, int trailing) {
    return new RaftLimits(
        entries,
        trailing,
        maxAppendEntries,
        maxAppendBytes,
        maxInFlightEntries,
        maxChunkBytes,
        maxUncommittedEntries,
        maxUncommittedBytes,
        maxPendingSubmissions);
  }
}
